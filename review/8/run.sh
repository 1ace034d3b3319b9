#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$here/../.." && pwd)
export REVIEW_ROOT
program=$REVIEW_ROOT/target/review-2/release/review-case
[ -x "$program" ] && [ -x "$REVIEW_ROOT/target/release/lovageplank-platform" ] || exit 2
exec "$program" relayed "$here/record.txt"
