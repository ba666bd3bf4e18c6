# Shortcuts. Each target that needs a build first installs the Debian packages
# that are missing.
.PHONY: all setup build test demo bench bench-quick soak format clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B build -G Ninja >build-cmake.log 2>&1 || (cat build-cmake.log; exit 1)
	@rm -f build-cmake.log
	@ninja -C build --quiet

test: build
	@scripts/test.sh

demo: build
	@scripts/demo.sh

bench: build
	@scripts/bench.sh full

bench-quick: build
	@scripts/bench.sh quick

# Runs random seeds for about five minutes; SEEDS="1 2 3" runs those instead.
SEEDS ?= $(shell shuf -i 1000-999999 -n 18)
soak: build
	@scripts/soak.sh $(SEEDS)

format:
	@git ls-files '*.c' '*.h' '*.cc' | grep -v '^proto/gen/' | xargs clang-format -i

clean:
	@rm -rf build build-asan build-tsan build-fuzz stage out
