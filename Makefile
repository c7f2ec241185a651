PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

SEED ?= 1
COUNT ?= 50

.PHONY: all install demo test lint format scenarios spec soak soak-short soak-known soak-many clean

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

soak: $(STAMP)
	$(VENV)/bin/python -m soak --seed $(SEED)

soak-short: $(STAMP)
	$(VENV)/bin/python -m soak --seed 1 --seconds 8
	$(VENV)/bin/python -m soak --seed 2 --seconds 20 --crowds

soak-known: $(STAMP)
	$(VENV)/bin/python -m soak --known

soak-many: $(STAMP)
	$(VENV)/bin/python -m soak --seed $(SEED) --count $(COUNT) --keep target/soak

clean:
	rm -rf $(VENV) build *.egg-info
