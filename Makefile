# cactusbeam. "make help" lists the targets.
ASAN ?= 0
ifeq ($(ASAN),1)
B := build/asan
SANITIZE := -fsanitize=address,undefined -fno-omit-frame-pointer
else
B := build/opt
SANITIZE :=
endif

CC ?= gcc
CXX ?= g++
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
WARNXX := -Wall -Wextra -Werror
PKGS := libuv libzmq glib-2.0 argtable2 libcurl msgpack libxxhash libsodium gsl libcoap-3-notls jansson libzstd
# OWN=1 builds with the libraries of cb-packet only.
ifeq ($(OWN),1)
PKGS := libuv glib-2.0 argtable2 msgpack libxxhash jansson libzstd
endif
LIBPKGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# Directories of core/ may have subdirectories.
CORE_DIRS := $(sort $(dir $(wildcard core/*/*.h core/*/*/*.h)))
DIRS := $(patsubst %,-I%,$(CORE_DIRS)) -Iadapters -Isim \
	-Isim/sim-packets -Isim/sim-experiment -Iplatform
CFLAGS := -std=gnu11 -O2 -g $(WARN) $(SANITIZE) $(DIRS) $(LIBPKGS)
CXXFLAGS := -std=gnu++17 -O2 -g $(WARNXX) $(SANITIZE) $(DIRS) $(LIBPKGS)
LDLIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm -lstdc++
# Link only the libraries that a program uses: each costs time and memory.
LDFLAGS := $(SANITIZE) -Wl,--as-needed

CORE := $(patsubst %.c,$(B)/%.o,$(wildcard core/*/*.c core/*/*/*.c))
ADAPT := $(patsubst %.c,$(B)/%.o,$(wildcard adapters/*.c)) \
	 $(patsubst %.cc,$(B)/%.o,$(wildcard adapters/*.cc))
PLATFORM := $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
ifeq ($(OWN),1)
ADAPT := $(patsubst %,$(B)/adapters/%.o,addr daemon_args fields hello_codec histogram_text load_text http \
	 http_client \
	 json_text log mistakes msgpack_bound packet_settings policy_settings probe_outcome relay_codec send_batch settings \
	 settings_table source_outcome toml toml_shape usage zstd_delta)
endif
# Simulators without their main(), for tests of their modules.
SIMS := $(patsubst %.c,$(B)/%.o,$(filter-out %/main.c,$(wildcard sim/*.c sim/*/*.c)))
ARCHIVES := $(B)/libplatform.a $(B)/libadapters.a $(B)/libcore.a
LIBS := $(B)/libplatform.a $(B)/libcore.a $(B)/libadapters.a

# Each directory of cmd/, sim/ and bench/ that has C files is a program.
PROGDIRS := $(sort $(dir $(wildcard cmd/*/*.c sim/*/*.c bench/*/*.c)))
PROGS := $(foreach d,$(PROGDIRS),$(B)/bin/$(notdir $(patsubst %/,%,$(d))))

# A test is test/NAME_test.c (cmocka) or test/NAME_prop.cc (RapidCheck);
# other test/*.c and test/*.cc are helpers linked to all of them.
TESTS_C := $(patsubst test/%.c,$(B)/test/%,$(wildcard test/*_test.c))
TESTS_CC := $(patsubst test/%.cc,$(B)/test/%,$(wildcard test/*_prop.cc))
# Shell tests run the daemons as processes; run.sh is their helper.
TESTS_SH := $(wildcard test/process/*_test.sh)
TESTHELP := $(patsubst %.c,$(B)/%.o,$(filter-out %_test.c,$(wildcard test/*.c))) \
	    $(patsubst %.cc,$(B)/%.o,$(filter-out %_prop.cc,$(wildcard test/*.cc)))

.PHONY: all check tests demo demo-packets soak-packets bench slopes plot soak fuzz lint fmt fmt-check clean install help
all: $(PROGS)

help:
	@echo "make            build the programs"
	@echo "make check      run all tests"
	@echo "make demo       run the whole system on loopback, print figures"
	@echo "make bench      run the benchmarks"
	@echo "make slopes     measure the figures of docs/CAPACITY.md"
	@echo "make plot       draw the benchmarks' results into docs/plots"
	@echo "make demo-packets  run cb-packet on loopback, print figures"
	@echo "make soak-packets  run cb-packet with random faults and seeds"
	@echo "make soak       run the property tests with random seeds"
	@echo "make fuzz       fuzz the codecs with libFuzzer"
	@echo "make lint fmt   run the linter, the formatter"
	@echo "make install    install programs and manual pages below DESTDIR"

$(B)/libcore.a: $(CORE)
	@rm -f $@; $(AR) rcs $@ $^
$(B)/libadapters.a: $(ADAPT)
	@rm -f $@; $(AR) rcs $@ $^
$(B)/libplatform.a: $(PLATFORM)
	@rm -f $@; $(AR) rcs $@ $^
$(B)/libsim.a: $(SIMS)
	@rm -f $@; $(AR) rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CFLAGS) -MMD -MP -c $< -o $@
$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<
	@$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

# bench-faults uses the tests' simulated network.
TESTBED := $(patsubst %.c,$(B)/%.o,$(wildcard test/testbed*.c))
# slopes-spread and slopes-rack use the simulated network of core/spread's tests.
SPREAD_NET := $(B)/test/spread_net.o
bench_objects = $(if $(filter %/bench-faults/,$(1)),$(TESTBED)) $(if $(filter %/slopes-spread/ %/slopes-rack/,$(1)),$(SPREAD_NET))

define PROG
$(B)/bin/$(notdir $(patsubst %/,%,$(1))): $(patsubst %.c,$(B)/%.o,$(wildcard $(1)*.c)) $(LIBS) $(if $(filter sim/%,$(1)),$(B)/libsim.a) $(call bench_objects,$(1))
	@mkdir -p $$(@D)
	@echo LD $$@
	@$(CC) $(LDFLAGS) $(filter %.o,$(patsubst %.c,$(B)/%.o,$(wildcard $(1)*.c))) $(call bench_objects,$(1)) $(if $(filter sim/%,$(1)),$(B)/libsim.a) $(ARCHIVES) $(LDLIBS) -o $$@
endef
$(foreach d,$(PROGDIRS),$(eval $(call PROG,$(d))))

$(B)/test/%_test: $(B)/test/%_test.o $(TESTHELP) $(LIBS) $(B)/libsim.a
	@echo LD $@
	@$(CC) $(LDFLAGS) $< $(TESTHELP) $(B)/libsim.a $(ARCHIVES) -lcmocka $(LDLIBS) -o $@
$(B)/test/%_prop: $(B)/test/%_prop.o $(TESTHELP) $(LIBS)
	@echo LD $@
	@$(CXX) $(LDFLAGS) $< $(TESTHELP) $(ARCHIVES) -lrapidcheck $(LDLIBS) -o $@

tests: $(TESTS_C) $(TESTS_CC) all

check:
	@scripts/need
	@$(MAKE) --no-print-directory tests
	@B=$(B) scripts/check-outer-names
	@B=$(B) scripts/check $(TESTS_C) $(TESTS_CC) $(TESTS_SH)

demo:
	@scripts/need
	@$(MAKE) --no-print-directory all
	@B=$(B) scripts/demo

bench slopes plot: all
	@B=$(B) scripts/$@

demo-packets: all
	@B=$(B) SEEDS=1 FIRST_SEED=1 FAULTS=0 scripts/soak-packets

soak-packets: all
	@B=$(B) scripts/soak-packets

soak: tests
	@B=$(B) scripts/soak $(TESTS_CC)

.SECONDARY:

fuzz:
	@scripts/fuzz

SOURCES := $(wildcard core/*/*.[ch] core/*/*/*.[ch] platform/*.[ch] adapters/*.[ch] adapters/*.cc cmd/*/*.[ch] \
	   sim/*.[ch] sim/*/*.[ch] bench/*/*.[ch] fuzz/*.[ch] \
	   test/*.[ch] test/*.cc)
fmt:
	clang-format -i $(SOURCES)
fmt-check:
	clang-format --dry-run -Werror $(SOURCES)
lint:
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
		--enable=warning,portability,performance -j 8 \
		--suppress=missingIncludeSystem $(DIRS) \
		$(filter-out %.cc %.h,$(SOURCES))
	scripts/check-docs
	scripts/check-includes
	scripts/check-comments

DESTDIR ?=
PREFIX ?= /usr/local
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 755 $(filter $(B)/bin/cb%,$(PROGS)) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(wildcard man/cb*.1) $(DESTDIR)$(PREFIX)/share/man/man1

clean:
	rm -rf build

-include $(shell find $(B) -name '*.d' 2>/dev/null)
