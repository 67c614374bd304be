VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: install test lint demo demo-up bench soak clean

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --editable .
	touch $(STAMP)

lint: install
	$(VENV)/bin/black --check --quiet lentilring tests bench extras
	$(VENV)/bin/ruff check --quiet lentilring tests bench extras
	$(VENV)/bin/mypy

# Tests of hostile clients measure memory, so they run one at a time after all others.
test: install
	$(PYTHON) -m pytest -n 6 --ignore-glob='tests/test_hostile_*.py'
	$(PYTHON) -m pytest tests/test_hostile_*.py

demo: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash extras/demo.sh run

demo-up: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash extras/demo.sh up

bench: install
	$(PYTHON) -m bench.start
	$(PYTHON) -m bench.membership
	$(PYTHON) -m bench.faults
	$(PYTHON) -m bench.settle --size 243
	$(PYTHON) -m bench.state
	$(PYTHON) -m bench.processes size
	$(PYTHON) -m bench.processes fleet
	$(PYTHON) -m bench.processes connections

soak: install
	grep -v '^#' tests/soak_seeds.txt | while read seed minutes vms cause; do \
	  $(VENV)/bin/lentilring-load soak --seed $$seed --minutes $$minutes --vms $$vms \
	    --folder var/soak || exit 1; \
	done

clean:
	rm -rf $(VENV) var
