#!/usr/bin/env bash
# Builds the cases and stand-ins of review/6 to review/10 into target/review-2/.
# Needs the deploy file's build in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -DNDEBUG -Wall -Wno-missing-field-initializers
       -Wno-restrict -Ipackages -I. -Itests)
sources=(tests/support/hosted_world.cc tests/support/port_reservation.cc
         tests/soak/tcp_proxy.cc tests/e2e/child_process.cc)
objects=()
for source in "${sources[@]}"; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
mapfile -t libraries < <(find target/packages target/platform -name 'lib*.a')
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -gt 5 ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    $(pkg-config --libs ACE absl_strings absl_str_format absl_statusor \
      absl_time absl_random_random) -lglog -lcrypto -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
