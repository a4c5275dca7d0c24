#!/bin/sh
# Plays case 10: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The deploy file's build and review/build-2.sh go first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2.test ] || exit 2
CASE=10 FOLDER=review/10 exec target/review-2.test
