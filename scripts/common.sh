# Shared steps of the scripts: where the project stands, package installation, build.
# Sourced, not run.
set -euo pipefail
project_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build_dir=${POPLARSTILE_BUILD_DIR:-$project_dir/build}
jobs=${POPLARSTILE_JOBS:-$(nproc)}

say() { printf '== %s\n' "$*"; }

# Installs the declared Debian packages that are not on the machine yet.
install_packages() {
    local missing=() name
    for name in $(cat "$project_dir/scripts/packages.txt"); do
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
    done
    if [ ${#missing[@]} -eq 0 ]; then
        say "packages: all installed"
        return
    fi
    say "packages: installing ${missing[*]}"
    local as_root=()
    [ "$(id -u)" -eq 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
}

# Configures and builds; arguments are the targets (all by default).
build_project() {
    say "build: $build_dir"
    mkdir -p "$build_dir"
    cmake -S "$project_dir" -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
        ${POPLARSTILE_CMAKE_ARGS:-} >"$build_dir/configure.log" 2>&1 ||
        { cat "$build_dir/configure.log"; return 1; }
    cmake --build "$build_dir" -j "$jobs" --target "${@:-all}" -- --quiet 2>&1 | grep -v '^$' || return "${PIPESTATUS[0]}"
}
