#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; everything else stays the same.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/release/jayhollow-review ended-job-runs review/3
