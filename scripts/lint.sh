#!/usr/bin/env bash
# Checks format and lint of every source file that is not generated.
# A file whose text, headers and lint settings are unchanged since it passed is not linted again.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
cd "$project_dir"
sources() { git ls-files --cached --others --exclude-standard -- "$@" | grep -v '/gen/' | while read -r f; do [ -f "$f" ] && echo "$f"; done; }

say "format: clang-format"
sources '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror

say "lint: clang-tidy"
stamps=$build_dir/lint-stamps
mkdir -p "$stamps"
headers_hash=$( (cat .clang-tidy; sources '*.hpp' | sort | xargs sha256sum) | sha256sum | cut -c1-24)
lint_one() {
    local file=$1 key log
    key=$( (echo "$headers_hash"; cat "$file") | sha256sum | cut -c1-24)
    [ -f "$stamps/$key" ] && return 0
    log=$(clang-tidy --quiet -p "$build_dir" "$file" 2>/dev/null) && touch "$stamps/$key" && return 0
    printf '%s\n' "$log"
    return 1
}
export -f lint_one
export headers_hash stamps build_dir
sources 'src/*.cpp' 'apps/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'tests/*.cpp' |
    xargs -P "$jobs" -I{} bash -c 'lint_one {}'
say "lint: clean"
