PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: all install demo test lint format scenarios spec clean

all: test

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

install: $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m demo

test: $(STAMP)
	$(VENV)/bin/python -m test

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

scenarios: $(STAMP)
	$(VENV)/bin/python -m scenarios

spec: $(STAMP)
	$(VENV)/bin/python -m spec

clean:
	rm -rf $(VENV) build *.egg-info
