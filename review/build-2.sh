#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 into review/bin. Needs g++ and
# nlohmann-json3-dev, which the deploy file declares.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread rig-2/*.cpp -o bin/cases-2
