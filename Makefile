# Requires Python 3.11, make and apt; the targets install everything else.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run test check format smoke soak process-soak model binary bench clean

$(VENV)/ready: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

run: $(VENV)/ready
	@echo "Send work to http://127.0.0.1:8080; the README shows how. Ctrl-C stops."
	$(BIN)/fulmarrouter standalone examples/standalone.yaml

check: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(VENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: check model
	$(BIN)/python -m features.support.suite

smoke: $(VENV)/ready
	$(BIN)/python -m features.support.smoke

# Runs a long series of random fault histories, with seeds FIRST to LAST.
FIRST ?= 10000
LAST ?= 11000
soak: $(VENV)/ready
	$(BIN)/python -m features.support.histories $(FIRST) $(LAST)

# Runs real processes under random faults, about 50 s a seed. The logs of seeds
# that break a rule are kept in build/process-soak.
process-soak: $(VENV)/ready
	mkdir -p build/process-soak
	$(BIN)/python -m features.support.process_soak $(FIRST) $(LAST) build/process-soak

# Installs spin and gcc with apt if they are missing.
model:
	@command -v spin >/dev/null && command -v gcc >/dev/null || \
		(apt-get update -q && apt-get install -y -q spin gcc libc6-dev)
	sh model/check.sh

binary: $(VENV)/ready
	rm -rf build/site && mkdir -p build
	$(BIN)/pip install --quiet --require-hashes --no-deps --target build/site -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --target build/site .
	$(BIN)/shiv --site-packages build/site --compile-pyc --reproducible -e fulmarrouter.main:run_main -o build/fulmarrouter -p "/usr/bin/env python3.11"

bench: $(VENV)/ready
	for bench in bench/*_bench.py; do $(BIN)/python -m bench.$$(basename $$bench .py) || exit 1; done

clean:
	rm -rf $(VENV) build data *.egg-info
