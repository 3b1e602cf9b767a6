#!/usr/bin/env bash
# Writes docs/ERRORS.md from the table in src/base/error_codes.{hpp,cpp}.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
cd "$project_dir"
{
    cat <<'HEAD'
# Error codes

Every error that a caller or an operator can meet has a number, the place where it was met and a
remedy. The thousands digit names the part: 1 settings, 2 rules, 3 callers, 4 platform, 5 workers,
6 peers, 7 operators, 8 scheduling. `scripts/errors_page.sh` writes this page; a test holds it and
the code together.

| code | name | meaning | remedy |
| --- | --- | --- | --- |
HEAD
    sed -n 's/^    {error_code::\([a-z_]*\), "[a-z_]*", "\(.*\)", "\(.*\)"},$/\1|\2|\3/p' src/base/error_codes.cpp |
        while IFS='|' read -r name meaning remedy; do
            number=$(sed -n "s/^    $name = \([0-9]*\),$/\1/p" src/base/error_codes.hpp)
            printf '| %s | `%s` | %s | %s |\n' "$number" "$name" "$meaning" "$remedy"
        done
} >docs/ERRORS.md
