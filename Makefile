VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1
DAYS ?= 40

.PHONY: generate setup test demo check promises chaos soak fuzz bench-tail bench-slopes bench-call bench-fanout regression

setup: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

check: $(STAMP)
	$(VENV)/bin/ruff format --check src tests bench tools
	$(VENV)/bin/ruff check src tests bench tools
	$(VENV)/bin/mypy

test: $(STAMP)
	$(PY) -m pytest

demo: $(STAMP)
	$(PY) -m tests.demo

promises: $(STAMP)
	$(PY) -m pytest -m promise

chaos: $(STAMP)
	$(PY) -m tests.chaos --seed $(SEED)

soak: $(STAMP)
	$(PY) -m tests.soak --seed $(SEED)

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=long $(PY) -m pytest tests/unit/test_fuzz_borders.py \
	  tests/unit/forwarding/test_fuzz_tables.py

bench-tail: $(STAMP)
	$(PY) -m bench.tail

bench-slopes: $(STAMP)
	$(PY) -m bench.slopes

bench-fanout: $(STAMP)
	$(PY) -m bench.fanout

bench-call: $(STAMP)
	$(PY) -m bench.call

# Scores and hunts of the users' bench: BENCH is its program, SITES its site
# files.
regression:
	for site in $(SITES); do \
	  $(BENCH) score $$site --why "regression" && \
	  $(BENCH) hunt $$site --days $(DAYS) --why "regression" || exit 1; \
	done

# The sample files and the OpenAPI page are generated and committed.
generate: $(STAMP)
	$(PY) -m tools.examples
	$(PY) -m tools.openapi
