# Entry points for people and CI; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test format format-check lint schema schema-check demo bench bench-report clean

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

bench: build
	bench/run.sh $(BUILD)

bench-report:
	bench/report.sh

clean:
	rm -rf $(BUILD)
