PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup lint format test bench demo soak

setup: .venv/installed

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch .venv/installed

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/python tests/run.py

demo: setup
	$(BIN)/python -m demo.arequipa

bench: setup
	$(BIN)/python -m benchmarks

soak: setup
	$(BIN)/python tests/run.py --soak
	cd tests && PYTHONPATH=.. ../$(BIN)/python soak.py --seeds=10
