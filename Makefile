PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench replay soak clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m demo
	$(BIN)/python -m demo.platform

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m benchmarks

replay: $(STAMP)
	$(BIN)/python -m tests.replay

soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(or $(SEED),1-50)

clean:
	rm -rf $(VENV) build *.egg-info
