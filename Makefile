# Every target makes the virtual environment it needs, so a fresh clone needs nothing else.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/limpethollow-wire packages/limpethollow-policy packages/limpethollow-node \
            packages/limpethollow
TOOLS := pytest pytest-bdd pytest-xdist hypothesis black ruff
SOURCES := packages tests benchmarks demo soak
SEEDS ?= 1 2 3
WORKERS ?= 4

.PHONY: demo test lint format bench soak clean

# Where hdrhistogram has no wheel, its build needs pbr, which pip doesn't fetch without isolation.
$(VENV)/.installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --quiet --constraint constraints.txt setuptools pbr $(TOOLS)
	$(BIN)/pip install --quiet --quiet --constraint constraints.txt --no-build-isolation \
		$(addprefix --editable ,$(PACKAGES)) matplotlib
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadscope

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

format: $(VENV)/.installed
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix --quiet $(SOURCES)

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks

soak: $(VENV)/.installed
	$(BIN)/python -m soak $(SEEDS)

clean:
	rm -rf $(VENV)
