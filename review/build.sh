#!/usr/bin/env bash
# Builds the stand-ins of the platform that the scripts of the cases start. They are one
# program, without dependencies outside the standard library.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o bin/harness ./harness
