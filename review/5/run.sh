#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-standin -case ends -record review/5/record.txt
