#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs target/bin/poplarstiled and review/build.sh.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/cases ] && [ -x target/bin/poplarstiled ] || exit 2
timeout 118 review/bin/cases late_submission "$folder" target/bin/poplarstiled
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
