#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 into
# target/review-3, with the objects of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
make B=target OPT=-O2 -j8 target/crocusbend
pkgs="ck libzmq yaml-0.1 libmicrohttpd libcurl glib-2.0 libxxhash jansson msgpack libuv zlib"
out=target/review-3
mkdir -p "$out"
objects=$(find target/src target/platform -name '*.o' ! -path target/src/main.o)
for source in review/standin-3/*.c; do
  # shellcheck disable=SC2046,SC2086
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Isrc -Iplatform \
    -pthread $(pkg-config --cflags $pkgs) -o "$out/$(basename "$source" .c)" \
    "$source" $objects $(pkg-config --libs $pkgs) -lm -pthread
done
