VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: install test lint demo demo-up bench clean

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --editable .
	touch $(STAMP)

lint: install
	$(VENV)/bin/black --check --quiet lentilring tests
	$(VENV)/bin/ruff check --quiet lentilring tests
	$(VENV)/bin/mypy

test: install
	$(PYTHON) -m pytest -n 6

demo: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash extras/demo.sh run

demo-up: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash extras/demo.sh up

bench: install
	$(PYTHON) -m tests.bench_membership
	$(PYTHON) -m tests.bench_faults
	$(PYTHON) -m tests.bench_settle --size 243
	$(PYTHON) -m tests.bench_state
	$(PYTHON) -m tests.bench_processes size
	$(PYTHON) -m tests.bench_processes fleet
	$(PYTHON) -m tests.bench_processes connections

clean:
	rm -rf $(VENV) var
