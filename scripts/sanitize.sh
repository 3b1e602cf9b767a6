#!/usr/bin/env bash
# Builds the library tests with sanitizers and runs them.
# Usage: scripts/sanitize.sh address|thread [ctest arguments]; works from any folder.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
case "${1:-}" in
    address) sanitizers="address;undefined" ;;
    thread) sanitizers=thread ;;
    *) echo "usage: scripts/sanitize.sh address|thread [ctest arguments]"; exit 2 ;;
esac
build=$project_dir/build-$1
shift
say "build: $sanitizers"
cmake -S "$project_dir" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DPOPLARSTILE_SANITIZE="$sanitizers" >/dev/null
ninja -C "$build" -j "$jobs" sanitized_tests
say "test: $sanitizers"
export RC_PARAMS=${RC_PARAMS:-seed=20261204}
export ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=1:halt_on_error=1}
export UBSAN_OPTIONS=${UBSAN_OPTIONS:-halt_on_error=1:print_stacktrace=1}
export TSAN_OPTIONS=${TSAN_OPTIONS:-halt_on_error=1:second_deadlock_stack=1}
ctest --test-dir "$build" --output-on-failure -L sanitized -j "${POPLARSTILE_TEST_JOBS:-2}" "$@"
