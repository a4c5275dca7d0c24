#!/usr/bin/env bash
# Builds the stand-ins and the cases, which need the standard library only, as one test
# binary. The build of the deploy file has to run before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off CGO_ENABLED=0 go test -c -o ../target/review-cases .
