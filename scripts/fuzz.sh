#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each over its corpus and a bounded number of mutations.
# Usage: scripts/fuzz.sh [ctest arguments]; works from any folder.
# A longer run by hand: build-fuzz/fuzz/fuzz_peer_frame -max_total_time=600 fuzz/corpus/peer_frame
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
case "${1:-}" in
    -h | --help) echo "usage: scripts/fuzz.sh [ctest arguments]"; exit 0 ;;
esac
build=${POPLARSTILE_FUZZ_DIR:-$project_dir/build-fuzz}
targets=()
for file in "$project_dir"/fuzz/*.cpp; do targets+=("fuzz_$(basename "$file" .cpp)"); done
say "fuzz: build ${targets[*]}"
cmake -S "$project_dir" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DPOPLARSTILE_FUZZ=ON \
    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C "$build" -j "$jobs" --quiet "${targets[@]}"
say "fuzz: run"
ctest --test-dir "$build" --output-on-failure -L fuzz -j 2 "$@"
