# Each module is a folder whose .c files all go into the library; main/main.c
# is linked with the library into the program.  Each tests/NAME_test.cc is a
# test program and each tests/fakes/NAME.c a fake of an external service.

MODULES = kernel metrics log settings store conf ledger claims orders route \
	  request dispatch front member peer instances admin router ctl \
	  http replica fleet prepaid balance streams proxy ingress outbound overload \
	  platform gateway
PACKAGES = glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0 msgpack log4c libzstd
# http-parser has no pkg-config file.
EXTRA_LIBS = -lhttp_parser -lm
DEBIAN_PACKAGES = gcc g++ make pkg-config clang-format clang-tidy curl \
		  mandoc python3 libglib2.0-dev libsoup-3.0-dev \
		  libjson-glib-dev libmsgpack-dev liblog4c-dev libgtest-dev \
		  libhttp-parser-dev libzstd-dev \
		  glib-networking clang libclang-rt-14-dev

BUILD ?= build
PREFIX ?= /usr/local
CC = gcc
CXX = g++
WARNINGS = -Wall -Wextra -Wpointer-arith -Wshadow -Wformat=2 -Wundef \
	   -Wwrite-strings -Werror
CWARNINGS = $(WARNINGS) -Wstrict-prototypes -Wmissing-prototypes
OPT = -O2 -g
ifdef SANITIZE
BUILD = build/sanitize
OPT = -O1 -g -fno-omit-frame-pointer -fsanitize=address,undefined \
      -fno-sanitize-recover=undefined
endif
# -isystem suppresses compiler warnings in third-party headers.
PKG_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PACKAGES)))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES)) $(EXTRA_LIBS)
GTEST_LIBS := $(shell pkg-config --libs gtest_main)
CFLAGS = -std=gnu11 -I. $(OPT) $(CWARNINGS) $(PKG_CFLAGS) -MMD -MP
CXXFLAGS = -std=c++17 -I. $(OPT) $(WARNINGS) -Wno-missing-field-initializers \
	   $(PKG_CFLAGS) -MMD -MP
LDFLAGS = $(OPT)

SRC = $(foreach m,$(MODULES),$(wildcard $(m)/*.c))
OBJ = $(SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libtanagertrestle.a
BIN = $(BUILD)/tanagertrestle
TESTS = $(patsubst tests/%.cc,$(BUILD)/tests/%,$(wildcard tests/*_test.cc))
FAKES = $(patsubst tests/fakes/%.c,$(BUILD)/fakes/%,$(wildcard tests/fakes/*.c))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/*.c)) \
	  $(patsubst bench/%.cc,$(BUILD)/bench/%,$(wildcard bench/*.cc))
OWN_C = $(SRC) $(wildcard main/*.c tests/fakes/*.c bench/*.c fuzz/*.c)
OWN_ALL = $(OWN_C) $(foreach m,$(MODULES),$(wildcard $(m)/*.h)) \
	  $(wildcard tests/*.cc tests/*.h bench/*.h)
# Each fuzz/NAME.c is a fuzz target of libFuzzer, with seeds in fuzz/seeds/NAME.
FUZZERS = $(patsubst fuzz/%.c,$(BUILD)/fuzz/%,$(wildcard fuzz/*.c))
# Compiled with the fuzzer's instrumentation; the rest comes from the library.
FUZZ_SRC = http/parse.c platform/wire.c kernel/http.c kernel/exchange.c \
	   kernel/identifier.c
FUZZ_FLAGS = -std=gnu11 -I. -O1 -g -fsanitize=fuzzer,address,undefined \
	     -fno-sanitize-recover=undefined
FUZZ_RUNS ?= 200000
FUZZ_SEED ?= 1
PAGES = $(wildcard main/*.1 ctl/*.1 router/*.8 gateway/*.8)

.PHONY: all packages build check test format lint clean demo prove bench \
	latency slopes fakes install docs/settings.md process fuzz

all: $(BIN) $(FAKES)

build: all $(TESTS) $(BENCHES)

fakes: $(FAKES)

packages:
	@dpkg-query -W $(DEBIAN_PACKAGES) >/dev/null 2>&1 || \
	{ apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(DEBIAN_PACKAGES); }

$(LIB): $(OBJ)
	@rm -f $@ && ar rcs $@ $(OBJ)

$(BIN): $(BUILD)/main/main.o $(LIB)
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/fakes/%: $(BUILD)/tests/fakes/%.o $(LIB)
	@mkdir -p $(@D)
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(LIB)
	@mkdir -p $(@D)
	@$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# The property tests in tests/NAME_prove.cc are linked into tests/NAME_test.
$(foreach p,$(wildcard tests/*_prove.cc),$(eval \
	$(BUILD)/$(p:%_prove.cc=%_test): $(BUILD)/$(p:%.cc=%.o)))

$(BUILD)/tests/%_test: $(BUILD)/tests/%_test.o $(LIB)
	@$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(PKG_LIBS) $(GTEST_LIBS)

$(BUILD)/fuzz/%: fuzz/%.c $(FUZZ_SRC) $(LIB)
	@mkdir -p $(@D)
	@echo "fuzz cc $<"
	@clang $(FUZZ_FLAGS) $(CWARNINGS) $(PKG_CFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "cc $<"
	@$(CC) $(CFLAGS) -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "c++ $<"
	@$(CXX) $(CXXFLAGS) -c -o $@ $<

format:
	@clang-format --dry-run -Werror $(OWN_ALL)

lint: $(OWN_C:%.c=$(BUILD)/lint/%.ok)
	@mandoc -Tlint -Wwarning $(PAGES)

# A stamp for each file, so that only changed files are checked again.
$(BUILD)/lint/%.ok: %.c .clang-tidy
	@mkdir -p $(@D)
	@echo "lint $<"
	@clang-tidy --quiet $< -- -std=gnu11 -I. $(PKG_CFLAGS) >$@.log 2>&1 || \
		{ cat $@.log; exit 1; }
	@touch $@

test: build
	@sh tests/run.sh $(BUILD)
	@BUILD=$(BUILD) bash tests/process/run.sh

check: packages
	$(MAKE) format
	$(MAKE) lint
	$(MAKE) fuzz
	$(MAKE) test

# Runs each fuzz target on FUZZ_RUNS inputs that follow from FUZZ_SEED.  An input
# that fails is kept in the build folder.
fuzz: $(FUZZERS)
	@for f in $(FUZZERS); do \
		name=$$(basename $$f); \
		echo "fuzz $$name"; \
		rm -rf $$f.corpus; mkdir -p $$f.corpus; \
		$$f -seed=$(FUZZ_SEED) -runs=$(FUZZ_RUNS) -max_len=2048 \
			-artifact_prefix=$(BUILD)/fuzz/$$name- \
			$$f.corpus fuzz/seeds/$$name >$$f.log 2>&1 || \
		{ tail -n 40 $$f.log; exit 1; }; \
	done

# Installs the required packages, builds the program and runs a small fleet.
demo: packages
	@$(MAKE) -s all
	@BUILD=$(BUILD) timeout 60 bash demo/run.sh

# Property tests of the guarantees; SEEDS=A..B selects other schedules.
prove: build
	@sh tests/prove.sh $(BUILD)

# Generates the settings reference; a test compares the page with the code.
docs/settings.md: $(BIN)
	@sed '/^| key /,$$d' $@ >$@.new
	@$(BIN) settings >>$@.new
	@mv $@.new $@

install: $(BIN)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(BIN) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(filter %.1,$(PAGES)) \
		$(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 $(filter %.8,$(PAGES)) \
		$(DESTDIR)$(PREFIX)/share/man/man8

# Runs every bench/bench_*.c; fails if a result misses its limit.
bench: $(BENCHES)
	@sh bench/run.sh $(BUILD)

# Tests of whole processes under faults; CASES="stop kill" selects tests.
process: all
	@BUILD=$(BUILD) bash tests/process/run.sh $(CASES)

# Reports the added latency, maximum rate and memory of one router.
latency: all $(BENCHES)
	@BUILD=$(BUILD) timeout 180 bash bench/latency.sh

# Reports how the cost grows with each quantity by which a fleet grows.
slopes: all $(BENCHES)
	@BUILD=$(BUILD) timeout 300 bash bench/slopes.sh

clean:
	rm -rf build

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
