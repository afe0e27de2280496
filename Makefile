# Shortcuts for CMake, CTest and the scripts.
BUILD ?= build

.PHONY: install build check demo measure prove format review soak-sanitized

install:
	@scripts/install

build: install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@rm -f $(BUILD).log
	@cmake --build $(BUILD)

check: build
	@scripts/format-check
	@scripts/check-docs
	@BUILD=$(BUILD) scripts/lint
	@test ! -s KNOWN-RED.txt || { echo 'Known red, see KNOWN-RED.txt:'; cat KNOWN-RED.txt; }
	@ctest --test-dir $(BUILD) --output-on-failure

format:
	@git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'tools/*.h' 'tools/*.cpp' 'tests/*.h' 'tests/*.cpp' 'platform/*.h' 'platform/*.cpp' | xargs clang-format -i

demo: build
	@python3 tools/demo.py --build $(BUILD)

measure: build
	@python3 tools/measure.py --build $(BUILD) $(if $(QUICK),--quick)

prove: build
	@python3 tools/prove.py --build $(BUILD)

# The cases of the independent review, one line each. Not a part of check.
review: install
	@scripts/review

# A short soak of the program with the sanitizers of addresses and undefined behaviour. They use more
# memory than the program, so that the bound of the soak does not apply.
SANITIZED := $(BUILD)-sanitized
soak-sanitized: install
	@cmake -S . -B $(SANITIZED) -G Ninja -DCMAKE_BUILD_TYPE= -DCASSIAROAD_PROGRAM_ONLY=ON \
		"-DCMAKE_CXX_FLAGS=-O1 -g1 -fsanitize=address,undefined -fno-omit-frame-pointer" >$(SANITIZED).log 2>&1 \
		|| (cat $(SANITIZED).log; exit 1)
	@rm -f $(SANITIZED).log
	@cmake --build $(SANITIZED) --target cassiaroad
	@UBSAN_OPTIONS=print_stacktrace=1 LSAN_OPTIONS=suppressions=$(CURDIR)/tools/soaklib/leaks.supp \
		python3 tools/soak.py --build $(SANITIZED) --seed 3 --seconds 10 --max-resident-mb 2000
