VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test lint format install

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

demo: install
	$(BIN)/lacewingpond demo

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
