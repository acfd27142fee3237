# siskinpond. SAN=1 builds with AddressSanitizer and UBSan, in out-san/.
CC = gcc
PKGS = glib-2.0 jansson
OUT = out
CFLAGS = -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror
LDFLAGS =
ifeq ($(SAN),1)
OUT = out-san
CFLAGS += -fsanitize=address,undefined -fno-omit-frame-pointer
LDFLAGS += -fsanitize=address,undefined
endif
CPPFLAGS = -I. $(shell pkg-config --cflags $(PKGS))
LIBS = -lh2o -lhttp_parser -luv -lzmq -lssl -lcrypto -lmsgpackc -lm \
	$(shell pkg-config --libs $(PKGS))

LIBDIRS = base conf core flow
LIBSRC = $(wildcard $(addsuffix /*.c,$(LIBDIRS)))
LIBOBJ = $(LIBSRC:%.c=$(OUT)/%.o)
WEBOBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard web/*.c call/*.c http/*.c))
NODEOBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard node/*.c))
RELAYOBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard relay/*.c platform/*.c \
	http/*.c))
PLATOBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard platform/*.c http/*.c))
RELAYLIBS = -lhttp_parser -luv -lmsgpackc -lm \
	$(shell pkg-config --libs $(PKGS))
PROGS = $(addprefix $(OUT)/,sprelay spnode spctl spcall splog spup spload \
	spstore spinst spmesh spcrowd)
SRC = $(wildcard */*.c)
HDR = $(wildcard */*.h)

all: $(PROGS)

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	@echo cc $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c $< -o $@

$(OUT)/libsp.a: $(LIBOBJ)
	@rm -f $@
	@ar rcs $@ $^

$(OUT)/libspweb.a: $(WEBOBJ)
	@rm -f $@
	@ar rcs $@ $^

$(OUT)/spnode: $(NODEOBJ) $(OUT)/libspweb.a $(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(OUT)/sprelay: $(RELAYOBJ) $(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(RELAYLIBS)

$(OUT)/spctl: $(OUT)/cmd/review.o $(OUT)/cmd/trace.o $(OUT)/cmd/where.o
$(OUT)/spctl $(OUT)/spcall: $(OUT)/%: $(OUT)/cmd/%.o $(OUT)/libspweb.a \
		$(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(OUT)/spup: $(patsubst %.c,$(OUT)/%.o,$(wildcard standin/up*.c))
$(OUT)/spload: $(patsubst %.c,$(OUT)/%.o,$(wildcard standin/load*.c))
$(OUT)/splog $(OUT)/spup $(OUT)/spload: $(OUT)/%: $(OUT)/standin/%.o \
		$(OUT)/libspweb.a $(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(OUT)/spinst: $(patsubst %,$(OUT)/standin/%.o,answers rawanswers rawtext instnet)
$(OUT)/spmesh: $(patsubst %.c,$(OUT)/%.o,$(wildcard standin/mesh*.c))
$(OUT)/spstore $(OUT)/spinst $(OUT)/spmesh: $(OUT)/%: $(OUT)/standin/%.o \
		$(patsubst %.c,$(OUT)/%.o,$(wildcard http/*.c)) $(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ -lpthread $(RELAYLIBS)

$(OUT)/spcrowd: $(OUT)/standin/spcrowd.o $(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(RELAYLIBS)

$(OUT)/redirect.so: test/redirect.c standin/meshport.h
	@mkdir -p $(@D)
	@echo ld $@
	@$(CC) $(CPPFLAGS) $(CFLAGS) -fPIC -shared -o $@ $< -ldl

$(OUT)/sptest: $(patsubst %.c,$(OUT)/%.o,$(filter-out test/fuzz% \
		test/redirect.c,$(wildcard test/*.c))) $(PLATOBJ) $(OUT)/relay/frame.o \
		$(OUT)/relay/reply.o $(OUT)/standin/rawtext.o \
		$(OUT)/libsp.a
	@echo ld $@
	@$(CC) $(LDFLAGS) -o $@ $^ -lcunit -lhttp_parser $(LIBS)

test: all $(OUT)/sptest $(OUT)/redirect.so
	@test/run.sh $(OUT)

# Ten thousand random fault schedules. `make mutants` checks that the schedules
# detect deliberate faults in the library.
soak: $(OUT)/sptest
	$(OUT)/sptest soak -s 1000000 -n 10000

# The real programs under injected faults, one seed after the other.
FIRST = 1
LAST = 50
soak-relay: all
	@test/soak-relay.sh $(OUT) $(FIRST) $(LAST)

mutants:
	@test/mutants.sh

# libFuzzer on the parsers of untrusted input. FUZZ_RUNS limits the inputs.
FUZZ_RUNS = 200000
fuzz: $(OUT)/sptest
	@mkdir -p out/fuzz out/corpus
	@$(OUT)/sptest seeds out/corpus
	clang $(CPPFLAGS) -std=c11 -D_GNU_SOURCE -g -O1 \
		-fsanitize=fuzzer,address,undefined -o out/fuzz/spfuzz \
		test/fuzz.c test/fuzz_wire.c $(LIBSRC) $(wildcard platform/*.c http/*.c) \
		relay/frame.c $(RELAYLIBS)
	out/fuzz/spfuzz -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 out/corpus

demo:
	@.ci/run install
	@$(MAKE) -s all
	@demo/demo.sh $(OUT)

# The demo mesh under kills, pauses, partitions, log outages and replacements.
demo-faults: all
	@demo/faults.sh $(OUT)

bench: all
	@demo/bench.sh $(OUT)

# Control cost by number of nodes. The figures of docs/CAPACITY.md come from it.
slopes: all
	@demo/slopes.sh $(OUT) 10 30 100

format:
	clang-format -i $(SRC) $(HDR)

lint:
	@clang-format --dry-run -Werror $(SRC) $(HDR)
	@printf '%s\n' $(SRC) | xargs -P 8 -n 1 sh -c \
		'clang-tidy --quiet "$$0" -- $(CPPFLAGS) -std=c11 -D_GNU_SOURCE \
		2>/dev/null || { echo "lint: $$0" >&2; exit 1; }'

clean:
	rm -rf out out-san target run

-include $(LIBOBJ:.o=.d) $(WEBOBJ:.o=.d) $(NODEOBJ:.o=.d) \
	$(wildcard $(OUT)/*/*.d)

.PHONY: all test soak soak-relay mutants fuzz demo demo-faults bench slopes format lint clean
