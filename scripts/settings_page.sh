#!/usr/bin/env bash
# Writes docs/SETTINGS.md from the descriptors in src/settings/internal/schema.cpp.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
build_project poplarctl
"$build_dir/bin/poplarctl" settings reference >"$project_dir/docs/SETTINGS.md"
