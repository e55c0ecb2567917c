VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1

.PHONY: generate setup test demo check promises chaos soak bench-tail bench-slopes bench-call bench-fanout

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

bench-tail: $(STAMP)
	$(PY) -m bench.tail

bench-slopes: $(STAMP)
	$(PY) -m bench.slopes

bench-fanout: $(STAMP)
	$(PY) -m bench.fanout

bench-call: $(STAMP)
	$(PY) -m bench.call

# The sample files and the OpenAPI page are generated and committed.
generate: $(STAMP)
	$(PY) -m tools.examples
	$(PY) -m tools.openapi
