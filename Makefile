# VENV may name a shared virtual environment that already has the dependencies.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
NAME ?=

.PHONY: demo test lint format measure measure-all

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m cranberrywall.commands.demo --once

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy cranberrywall standins measurements tests
	$(BIN)/lint-imports

format: $(VENV)/.installed
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

measure: $(VENV)/.installed
	$(BIN)/python -m measurements.$(NAME)

measure-all: $(VENV)/.installed
	$(BIN)/python -m measurements.everything
