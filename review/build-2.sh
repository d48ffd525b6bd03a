#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/ ./9/standins
mv bin/standins bin/route-restart
