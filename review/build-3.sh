#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, which hold their stand-ins, into
# target/review-3. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/support-3/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = world ] && continue
  g++ -std=c++20 -O2 -pthread -Wall -Wextra "$source" \
    review/support-3/world.cc -o "$out/$name"
done
