#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are a Go module of their own without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false go build -o ../bin/standin .
