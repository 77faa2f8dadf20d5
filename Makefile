# make demo and make test each set up all they need and work alone.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: soak demo test lint format dist generate bench-path bench-control bench-decisions bench-capacity

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

dist/tamarackhaven: $(STAMP) $(wildcard tamarackhaven/*.py) scripts/build_dist.py scripts/zipapp_main.py pyproject.toml requirements.txt
	$(BIN)/python scripts/build_dist.py

dist: dist/tamarackhaven

demo: dist/tamarackhaven
	$(BIN)/python scripts/demo.py

test: dist/tamarackhaven
	$(BIN)/python scripts/run_tests.py

# Fresh seeds each time; SEEDS=50 takes about seven minutes.
SEEDS ?= 50
soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS) --regressions

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench-path bench-control bench-decisions bench-capacity: dist/tamarackhaven
	$(BIN)/python benches/$(subst -,_,$@).py

# Only needed after an edit of wire.proto; the generated code is committed.
generate: $(STAMP)
	$(BIN)/python -m pip install --quiet grpcio-tools==1.85.1
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=tamarackhaven --plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python --grpclib_python_out=tamarackhaven proto/_wire.proto
	sed -i 's/^import _wire_pb2$$/from tamarackhaven import _wire_pb2/' tamarackhaven/_wire_grpc.py
