#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."

cxx=${CXX:-g++}
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview/standin)
out=build/review
mkdir -p "$out"

pids=()
for source in review/standin/*.cpp review/[1-5]/*.cpp; do
  [[ -e $source ]] || continue
  name=${source#review/}
  "$cxx" "${flags[@]}" -c "$source" -o "$out/${name//\//-}.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/[1-5]/*.cpp; do
  [[ -e $source ]] || continue
  name=${source#review/}
  number=${name%%/*}
  "$cxx" "$out/${name//\//-}.o" "$out"/standin-*.o -o "$out/case-$number" \
    -lboost_json $(pkg-config --libs absl_strings) -lpthread
done
