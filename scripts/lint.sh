#!/usr/bin/env bash
# Checks format and lint of every source file that is not generated.
# A file that is unchanged since it passed, with the project's headers that it includes and the
# linter's settings, is not linted again.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
cd "$project_dir"
sources() { git ls-files --cached --others --exclude-standard -- "$@" | grep -v '/gen/' | while read -r f; do [ -f "$f" ] && echo "$f"; done; }

say "format: clang-format"
sources '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror

say "lint: clang-tidy"
stamps=$build_dir/lint-stamps
mkdir -p "$stamps"
# The project's own headers that each source includes, as the compiler wrote them down:
# "source header" lines.
includes=$build_dir/lint-includes.txt
ninja -C "$build_dir" -t deps 2>/dev/null | awk -v root="$project_dir/" '
    /^[^ ]/ { source = ""; next }
    NF == 0 { next }
    source == "" { source = $1; sub("^" root, "", source); next }
    index($1, root) == 1 { header = $1; sub("^" root, "", header); print source, header }
' | sort -u >"$includes"
settings_hash=$(sha256sum .clang-tidy | cut -c1-24)
lint_one() {
    local file=$1 key log headers
    headers=$(awk -v file="$file" '$1 == file { print $2 }' "$includes")
    key=$( (echo "$settings_hash"; cat "$file"; for header in $headers; do cat "$header"; done) |
        sha256sum | cut -c1-24)
    [ -f "$stamps/$key" ] && return 0
    log=$(clang-tidy --quiet -p "$build_dir" "$file" 2>/dev/null) && touch "$stamps/$key" && return 0
    printf '%s\n' "$log"
    return 1
}
export -f lint_one
export settings_hash includes stamps build_dir
sources 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'tests/*.cpp' |
    xargs -P "$jobs" -I{} bash -c 'lint_one {}'
say "lint: clean"
