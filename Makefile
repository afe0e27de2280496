# Shortcuts for CMake, CTest and the scripts.
BUILD ?= build

.PHONY: install build check demo measure prove format

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
