#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not be run. TROUBLE=0 leaves the disruption out. Before: the build of the deploy file, and
# review/build.sh.
cd "$(dirname "$0")" || exit 2
program=../../target/cranberryford
if [ ! -x ../bin/harness ] || [ ! -x "$program" ]; then
	echo "cannot run: build the system and review/build.sh first"
	exit 2
fi
exec ../bin/harness schedule "$program" record.txt
