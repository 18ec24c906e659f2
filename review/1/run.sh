#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/late_rejection
[ -x "$program" ] || { echo "build first: review/build.sh" >&2; exit 2; }
timeout -k 2 110 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
