#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, below the folder of
# the program: target, unless it is named.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=${1:-target}
mkdir -p "$programs/review"
for name in upstream caller store; do
  # shellcheck disable=SC2046
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE \
    $(pkg-config --cflags jansson) -o "$programs/review/$name" \
    "review/standin/$name.c" $(pkg-config --libs jansson)
done
