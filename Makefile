VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SEED ?= 20261203
PACKAGES = packages/hawthornbarrow packages/hawthornbarrow-agent packages/hawthornbarrow-entry

SOAK_SEEDS ?= 3-4
SOAK_SECONDS ?= 8
SOAK_PATIENCE ?= 180
SOAK_FEATURES ?= upstream-directory,gap-waiting,run-time-tails,shares,return-plan,fast-restart,entry-relays,fast-takeover

.PHONY: demo soak test lint format bench fuzz fault-matrix path cost scenarios install

$(VENV)/.installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt \
		-e 'packages/hawthornbarrow[dev]' -e packages/hawthornbarrow-agent \
		-e packages/hawthornbarrow-entry
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/hawthornbarrow demo

test: install
	$(BIN)/python tools/run_tests.py $(PACKAGES) platform

soak: install
	HAWTHORNBARROW_FEATURES=$(SOAK_FEATURES) $(BIN)/python -m tools.soak --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS) \
		--patience $(SOAK_PATIENCE)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

path: install
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/path.sh

bench: install
	$(BIN)/python -m benchmarks.run --seed $(SEED)

cost: install
	$(BIN)/python -m benchmarks.cost

scenarios: install
	$(BIN)/python -m benchmarks.scenarios --seed $(SEED)

fuzz: install
	$(BIN)/python -m benchmarks.fuzz --seed $(SEED)

fault-matrix: install
	$(BIN)/python -m benchmarks.fault_matrix --seed $(SEED)
