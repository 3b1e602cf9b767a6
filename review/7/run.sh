#!/usr/bin/env bash
# The worker that runs a task crashes four times; see claim.txt. TROUBLE=0: without the crashes.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/cases-2 ] && [ -x target/bin/poplarstiled ] || exit 2
timeout --kill-after=5 115 review/bin/cases-2 crashed_workers "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
