#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, review/6 to review/10. They use nothing but Go's
# own library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin-2 .
