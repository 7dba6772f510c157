# Builds, tests, lints and runs benchmarks; all output goes below $(B).

SHELL = bash
B ?= build
CC ?= gcc
CSTD = -std=gnu11
OPT ?= -O2 -g
SAN ?=
PKGS = ck libzmq yaml-0.1 libmicrohttpd libcurl glib-2.0 libxxhash jansson msgpack libuv zlib
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lm
CFLAGS_ALL = $(CSTD) $(OPT) $(SAN) -Wall -Wextra -Werror -D_GNU_SOURCE \
  -Isrc -Iplatform -pthread $(PKG_CFLAGS)
LDLIBS_ALL = $(SAN) $(PKG_LIBS) -pthread

SRCS := $(sort $(shell find src platform -name '*.c'))
OBJS := $(SRCS:%.c=$(B)/%.o)
LIB_OBJS := $(filter-out $(B)/src/main.o,$(OBJS))

UNIT_SRCS := $(sort $(wildcard test/unit/test_*.c))
UNIT_BINS := $(UNIT_SRCS:test/unit/%.c=$(B)/test/%)
STANDIN_SRCS := $(sort $(wildcard test/standin/standin_*.c))
STANDIN_BINS := $(STANDIN_SRCS:test/standin/%.c=$(B)/%)
TEST_LIB_SRCS := $(sort $(wildcard test/lib/*.c))
TEST_LIB_OBJS := $(TEST_LIB_SRCS:%.c=$(B)/%.o)
BENCH_SRCS := $(sort $(wildcard bench/bench_*.c))
BENCH_BINS := $(BENCH_SRCS:bench/%.c=$(B)/bench/%)

all: $(B)/crocusbend $(STANDIN_BINS)

$(B)/crocusbend: $(OBJS)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -Itest -MMD -MP -c -o $@ $<

$(B)/test/%: $(B)/test/unit/%.o $(TEST_LIB_OBJS) $(LIB_OBJS)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS_ALL) -lcmocka

$(B)/standin_%: $(B)/test/standin/standin_%.o $(TEST_LIB_OBJS) $(LIB_OBJS)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(B)/bench/%: $(B)/bench/%.o $(TEST_LIB_OBJS) $(LIB_OBJS)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

tests: all $(UNIT_BINS)

check-unit: $(UNIT_BINS)
	@bash test/unit/run.sh $(UNIT_BINS)

check-scripts: all
	@bash test/script/run.sh $(B)

check-fuzz: all
	@bash test/fuzz/upstream.sh $(B)

# A small quarantine of freed memory, so that the nodes' limit holds here too.
check-asan:
	ASAN_OPTIONS=quarantine_size_mb=8 $(MAKE) B=build-asan OPT='-O1 -g' \
	  SAN='-fsanitize=address,undefined -fno-sanitize-recover=undefined' \
	  check-unit check-fuzz

demo: all
	@bash demo/demo.sh $(B)

model:
	bash model/deep.sh

capacity:
	@for t in $$(bash bench/capacity.sh); do bash bench/capacity.sh $$t; echo; done

chaos: all
	@bash bench/chaos.sh $(B)

docs: $(B)/crocusbend
	@bash docs/generate.sh $(B)

bench-route bench-failover bench-drain bench-hotkey bench-config bench-limits-nodes: all
	@bash bench/$(subst -,_,$(@:bench-%=%)).sh $(B)

bench-overload bench-limits bench-retry bench-control bench-balance \
  bench-document bench-conf: $(BENCH_BINS)
	@$(B)/bench/$(@:bench-%=bench_%)

check: check-unit check-scripts check-asan

FMT_FILES := $(shell find src platform test bench -name '*.[ch]')
TIDY_FILES := $(shell find src platform test bench -name '*.c')

lint-format:
	clang-format --dry-run -Werror $(FMT_FILES)

lint-tidy:
	printf '%s\n' $(TIDY_FILES) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(CSTD) -D_GNU_SOURCE -Isrc -Iplatform -Itest $(PKG_CFLAGS) 2>/dev/null' tidy

lint-cppcheck:
	cppcheck --quiet --std=c11 --enable=warning,portability \
	  --inline-suppr --error-exitcode=1 -j 8 -Isrc -Itest -D_GNU_SOURCE \
	  -Iplatform src platform test bench

lint: lint-format lint-tidy lint-cppcheck

format:
	clang-format -i $(FMT_FILES)

clean:
	rm -rf build build-asan build-tsan

-include $(shell find $(B) -name '*.d' 2>/dev/null)

.PHONY: check-fuzz model capacity chaos demo docs bench-route bench-failover bench-drain bench-hotkey \
  bench-config bench-limits-nodes bench-document bench-conf bench-overload bench-limits bench-retry bench-control \
  bench-balance all tests check check-unit check-scripts check-asan lint lint-format \
  lint-tidy lint-cppcheck format clean
.SECONDARY:
