#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
