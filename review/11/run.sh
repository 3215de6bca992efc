#!/usr/bin/env bash
# Minions that are back under their ids carry out polls for their former life: their tasks run twice.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin-3 former review/11
