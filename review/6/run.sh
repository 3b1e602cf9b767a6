#!/usr/bin/env bash
# A start is sent after the end of its task is known; see claim.txt. TROUBLE=0: without the hangs.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/cases-2 ] && [ -x target/bin/poplarstiled ] || exit 2
timeout --kill-after=5 115 review/bin/cases-2 start_after_completion "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
