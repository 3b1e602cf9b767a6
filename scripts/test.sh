#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs every test.
# Usage: scripts/test.sh [ctest arguments]; works from any folder.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
case "${1:-}" in
    -h | --help) echo "usage: scripts/test.sh [ctest arguments]   install, build, lint, all tests"; exit 0 ;;
esac
install_packages
build_project
"$project_dir/scripts/lint.sh"
say "test: every test program"
export RC_PARAMS=${RC_PARAMS:-seed=20261204}
ctest --test-dir "$build_dir" --output-on-failure -j "${POPLARSTILE_TEST_JOBS:-4}" "$@"
