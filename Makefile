PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= huron

.PHONY: install test lint demo clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: install
	$(BIN)/python -m pytest -q test

demo: install
	$(BIN)/dfw-load demo --deployment $(DEPLOYMENT)

clean:
	rm -rf $(VENV) .pytest_cache .hypothesis .ruff_cache
