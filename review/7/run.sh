#!/usr/bin/env bash
# A job whose task never began is given up; see claim.txt. TROUBLE=0: without the crashes.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/cases-2 ] && [ -x target/bin/poplarstiled ] || exit 2
timeout --kill-after=5 115 review/bin/cases-2 crashed_before_start "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
