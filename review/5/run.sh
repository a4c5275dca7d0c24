#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. The build of the deploy file and review/build.sh run before.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-cases ] || exit 2
CASE=revoke RECORD=review/5/record.txt exec target/review-cases
