# Builds every library, binary and test from the sources found in each folder.
# SAN=1 builds the same tree under the address and undefined sanitizers.

CC := gcc
SAN ?= 0
ifeq ($(SAN),1)
B := build-san
SANFLAGS := -fsanitize=address,undefined -fno-sanitize-recover=undefined
else
B := build
SANFLAGS :=
endif

PKGS := apr-1 apr-util-1 libmicrohttpd libcurl jansson libcyaml libxxhash \
	libtirpc argtable2 libcrypto zlib
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) | sed 's/-I/-isystem /g')
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -llog4c -lhttp_parser -lev
CHECK_LIBS := $(shell pkg-config --libs check)

WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wformat=2 \
	-Wmissing-prototypes -Wvla -Wpointer-arith -Wundef -Wwrite-strings
DEFS := -D_GNU_SOURCE -DPST_VERSION='"$(shell cat VERSION)"'
CPPFLAGS := $(DEFS) -I. $(PKG_CFLAGS)
CFLAGS := -std=gnu11 -O2 -g -pthread $(WARN) $(SANFLAGS)
GEN_CFLAGS := -std=gnu11 -O2 -g -pthread -w $(SANFLAGS)
LDLIBS := $(PKG_LIBS) -lpthread -lm

DAEMONS := entryd controld lookupd steerd
FAKES := platform upstream link caller
src = $(wildcard $(1)/*.c)
obj = $(patsubst %.c,$(B)/%.o,$(1))

LIB_SRC := $(call src,common) $(call src,policy) $(call src,agent) \
	$(call src,platform)
GEN_SRC := $(call src,schema/gen)
PART_SRC := $(filter-out %/main.c,$(foreach d,$(DAEMONS) pstctl, \
	$(call src,$(d))))
FAKE_SRC := $(call src,fakes)
LIBS := $(B)/libparts.a $(B)/libpst.a $(B)/libgen.a
TEST_SRC := $(filter-out tests/fix_%,$(wildcard tests/test_*.c))
FIX_SRC := $(wildcard tests/fix_*.c)
BENCH_SRC := $(wildcard bench/*.c)

BINS := $(foreach d,$(DAEMONS),$(if $(wildcard $(d)/main.c),$(B)/bin/pst-$(d)))
BINS += $(if $(wildcard pstctl/main.c),$(B)/bin/pstctl)
BINS += $(foreach f,$(FAKES),$(if $(wildcard fakes/$(f)/main.c), \
	$(B)/bin/fake-$(f)))
TESTS := $(patsubst tests/%.c,$(B)/tests/%,$(TEST_SRC))
BENCHES := $(patsubst bench/%.c,$(B)/bench/%,$(BENCH_SRC))

.PHONY: all check check-unit check-proc demo bench bench-capacity gen lint \
	format clean deps soak soak-many
.SECONDARY:
all: $(BINS) $(TESTS) $(BENCHES)

$(B)/schema/gen/%.o: schema/gen/%.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(GEN_CFLAGS) -MMD -MP -c $< -o $@

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/libpst.a: $(call obj,$(LIB_SRC))
$(B)/libparts.a: $(call obj,$(PART_SRC))
$(B)/libgen.a: $(call obj,$(GEN_SRC))
$(B)/libfakes.a: $(call obj,$(FAKE_SRC))
$(B)/libfix.a: $(call obj,$(FIX_SRC))
$(B)/lib%.a:
	@mkdir -p $(@D)
	@rm -f $@
	@ar rcs $@ $^

define bin_rule
$(B)/bin/$(1): $$(call obj,$$(call src,$(2))) $(3) $(LIBS)
	@mkdir -p $$(@D)
	@echo LD $$@
	@$(CC) $(CFLAGS) $$(filter %.o,$$^) $(3) $(LIBS) $(LDLIBS) -o $$@
endef
$(foreach d,$(DAEMONS),$(eval $(call bin_rule,pst-$(d),$(d),)))
$(eval $(call bin_rule,pstctl,pstctl,))
$(foreach f,$(FAKES),$(eval $(call bin_rule,fake-$(f),fakes/$(f),$(B)/libfakes.a)))

$(B)/tests/%: $(B)/tests/%.o $(B)/libfix.a $(B)/libfakes.a $(LIBS)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(CFLAGS) $(filter %.o,$^) $(B)/libfix.a $(B)/libfakes.a \
		$(LIBS) $(LDLIBS) $(CHECK_LIBS) -o $@

# These replace the agents, so they stay out of libfix.a.
$(filter $(B)/tests/test_entry%,$(TESTS)): $(B)/tests/stub_agents.o

$(B)/bench/%: $(B)/bench/%.o $(B)/libfakes.a $(LIBS)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(CFLAGS) $< $(B)/libfakes.a $(LIBS) $(LDLIBS) -o $@

check: deps
	$(MAKE) -j$(shell nproc) all
	$(MAKE) check-unit
	$(MAKE) check-proc

check-unit: all
	tools/run-tests.sh $(B)

check-proc: all
	tools/run-proc-tests.sh $(B)

demo: deps
	$(MAKE) -j$(shell nproc) all
	lab/demo.sh

# SEED is one or more seeds; SOAK_S is how long faults come, in seconds.
SEED ?= 1
SOAK_S ?= 20
soak: all
	PST_BIN=$(B)/bin tests/soak/soak --seconds $(SOAK_S) $(SEED)

# SOAK_RUNS fresh seeds, SOAK_JOBS at a time.
SOAK_RUNS ?= 50
SOAK_JOBS ?= 3
soak-many: all
	PST_BIN=$(B)/bin tests/soak/soak-many $(SOAK_RUNS) $(SOAK_JOBS)

bench: all
	lab/bench.sh

bench-capacity: all
	tools/run-capacity.sh $(B)

gen:
	tools/gen.sh

lint:
	tools/lint.sh

format:
	tools/format.sh

deps:
	tools/deps.sh

clean:
	rm -rf build build-san


-include $(shell find $(B) -name '*.d' 2>/dev/null)
