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
# cb-packet alone, for machines that have only what it needs.
ifeq ($(OWN),1)
PKGS := libuv glib-2.0 argtable2 msgpack libxxhash jansson libzstd
endif
LIBPKGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# A room of core/ may hold rooms of its own.
ROOMS := $(sort $(dir $(wildcard core/*/*.h core/*/*/*.h)))
DIRS := $(patsubst %,-I%,$(ROOMS)) -Iadapters -Isim \
	-Isim/sim-packets -Isim/sim-experiment -Iplatform
CFLAGS := -std=gnu11 -O2 -g $(WARN) $(SANITIZE) $(DIRS) $(LIBPKGS)
CXXFLAGS := -std=gnu++17 -O2 -g $(WARNXX) $(SANITIZE) $(DIRS) $(LIBPKGS)
LDLIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm -lstdc++
# Not what a program doesn't use: loading a library costs time and memory.
LDFLAGS := $(SANITIZE) -Wl,--as-needed

CORE := $(patsubst %.c,$(B)/%.o,$(wildcard core/*/*.c core/*/*/*.c))
ADAPT := $(patsubst %.c,$(B)/%.o,$(wildcard adapters/*.c)) \
	 $(patsubst %.cc,$(B)/%.o,$(wildcard adapters/*.cc))
PLATFORM := $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
ifeq ($(OWN),1)
ADAPT := $(patsubst %,$(B)/adapters/%.o,addr daemon_args fields hello_codec histogram_text http \
	 http_client \
	 json_text log mistakes msgpack_bound packet_settings policy_settings probe_outcome relay_codec settings \
	 settings_table toml toml_shape usage zstd_delta)
endif
# Stand-ins without their main(), so that tests reach their modules.
SIMS := $(patsubst %.c,$(B)/%.o,$(filter-out %/main.c,$(wildcard sim/*.c sim/*/*.c)))
ARCHIVES := $(B)/libplatform.a $(B)/libadapters.a $(B)/libcore.a
LIBS := $(B)/libplatform.a $(B)/libcore.a $(B)/libadapters.a

# A program is a directory below cmd/ or sim/ with C files in it.
PROGDIRS := $(sort $(dir $(wildcard cmd/*/*.c sim/*/*.c bench/*/*.c)))
PROGS := $(foreach d,$(PROGDIRS),$(B)/bin/$(notdir $(patsubst %/,%,$(d))))

# A test is test/NAME_test.c (cmocka) or test/NAME_prop.cc (RapidCheck);
# other test/*.c and test/*.cc are their helpers.
TESTS_C := $(patsubst test/%.c,$(B)/test/%,$(wildcard test/*_test.c))
TESTS_CC := $(patsubst test/%.cc,$(B)/test/%,$(wildcard test/*_prop.cc))
# Shell tests run the daemons themselves; run.sh is their helper.
TESTS_SH := $(wildcard test/process/*_test.sh)
TESTHELP := $(patsubst %.c,$(B)/%.o,$(filter-out %_test.c,$(wildcard test/*.c))) \
	    $(patsubst %.cc,$(B)/%.o,$(filter-out %_prop.cc,$(wildcard test/*.cc)))

.PHONY: all check tests demo demo-packets soak-packets bench slopes plot soak fuzz lint fmt fmt-check clean install help
all: $(PROGS)

help:
	@echo "make            build the programs"
	@echo "make check      all tests, one closing line"
	@echo "make demo       the whole path on loopback, with figures"
	@echo "make bench      ratios against our own baselines"
	@echo "make slopes     the slopes behind docs/CAPACITY.md"
	@echo "make plot       draw the bench's results into docs/"
	@echo "make demo-packets  cb-packet's path on loopback, with figures"
	@echo "make soak-packets  cb-packet under random faults, fresh seeds"
	@echo "make soak       property tests with random seeds"
	@echo "make fuzz       the codecs under libFuzzer"
	@echo "make lint fmt   linter, formatter"
	@echo "make install    programs and manual pages below DESTDIR"

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

# bench-faults runs the decisions on the tests' own bed.
TESTBED := $(patsubst %.c,$(B)/%.o,$(wildcard test/testbed*.c))
# slopes-spread and slopes-rack measure on the bed of the spread's tests.
SPREADBED := $(B)/test/spread_net.o
bed = $(if $(filter %/bench-faults/,$(1)),$(TESTBED)) $(if $(filter %/slopes-spread/ %/slopes-rack/,$(1)),$(SPREADBED))

define PROG
$(B)/bin/$(notdir $(patsubst %/,%,$(1))): $(patsubst %.c,$(B)/%.o,$(wildcard $(1)*.c)) $(LIBS) $(if $(filter sim/%,$(1)),$(B)/libsim.a) $(call bed,$(1))
	@mkdir -p $$(@D)
	@echo LD $$@
	@$(CC) $(LDFLAGS) $(filter %.o,$(patsubst %.c,$(B)/%.o,$(wildcard $(1)*.c))) $(call bed,$(1)) $(if $(filter sim/%,$(1)),$(B)/libsim.a) $(ARCHIVES) $(LDLIBS) -o $$@
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
