#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/. It needs no network.
set -eu
cd "$(dirname "$0")/second"
GOWORK=off go test -c -o ../../target/review-2.test .
