#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review: one program, without dependencies outside
# the standard library.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o bin/standins-2 ./standins-2
