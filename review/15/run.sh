#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in third.test dragonflyentry dragonflyagent dragonflycontrol; do
	[ -x "target/$program" ] || { echo "target/$program is not built"; exit 2; }
done
CASE=parts-slow ROOT=. FOLDER=review/15 exec target/third.test
