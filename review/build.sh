#!/bin/sh
# Builds the program of each case, with all stand-ins in it, into
# target/review/. Needs g++ and nlohmann-json3-dev, as the deploy file does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread "$source" -o "target/review/case-$number"
done
