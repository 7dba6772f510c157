#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build line of
# deploy/system.toml; they use the project's HTTP code.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
packages="ck libzmq yaml-0.1 libmicrohttpd libcurl glib-2.0 libxxhash jansson msgpack libuv zlib"
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Iplatform -pthread \
  $(pkg-config --cflags $packages) -o target/review-2/drill \
  review/standin-2/drill.c \
  $(find target/src target/platform -name '*.o' ! -path '*/src/main.o') \
  $(pkg-config --libs $packages) -lm -lhttp_parser -pthread
