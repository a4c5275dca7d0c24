#!/bin/sh
# Builds what the scripts of the third review start beside the deploy file's programs: one test
# binary, which holds the scripts, the clients, the operator and the project's stand-in servers.
set -e
cd "$(dirname "$0")/third"
GOWORK=off go test -c -o ../../target/third.test .
