# Entry points for people and CI; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test soak cold-soak crowd-test format format-check lint schema schema-check demo bench bench-report clean

all: build

$(BUILD)/Makefile: CMakeLists.txt
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null

build: $(BUILD)/Makefile
	+cmake --build $(BUILD) -j $(JOBS)

test: build
	tools/test.sh $(BUILD)

format:
	tools/format.sh fix

format-check:
	tools/format.sh check

lint: $(BUILD)/Makefile
	tools/lint.sh $(BUILD) $(JOBS)

schema:
	tools/schema.sh generate

schema-check:
	tools/schema.sh check

demo: build
	demo/run.sh $(BUILD) demo/kathmandu
	demo/run.sh $(BUILD) demo/altiplano

# One seed of the fault soak; MINUTES of faults.
SEED ?= 1
MINUTES ?= 0.5
soak: build
	python3 soak/soak.py $(BUILD) --seed $(SEED) --seconds $$(python3 -c 'print(60 * $(MINUTES))')

# One seed of the soak of cold targets; ROUNDS of about 10 s.
ROUNDS ?= 6
cold-soak: build
	python3 soak/cold_soak.py $(BUILD) --seed $(SEED) --rounds $(ROUNDS)

# Crowds of untrusted callers, at one node and through several; one run at a time, apart from other load.
crowd-test: build
	python3 soak/crowd_test.py $(BUILD)
	python3 soak/mesh_crowd_test.py $(BUILD)

bench: build
	bench/run.sh $(BUILD)

bench-report:
	bench/report.sh

clean:
	rm -rf $(BUILD)
