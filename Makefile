# Targets for people and for CI. Each sets up .venv first, which takes seconds
# when the lock has not changed since.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PROTO := bankrudder/v1/bankrudder.proto
GENERATED := src/bankrudder/v1

.PHONY: setup demo explain soak regression test lint format proto check-proto lock clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --no-build-isolation --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python bench/demo.py

# PYTEST_ARGS narrows a run; CI passes the known failures through it. Four at a time
# leave room for the daemons that the tests start. Crowds of clients come last, one test
# at a time, as they are measured.
TEST_JOBS ?= 4
CROWD_TESTS := tests/crowds
test: $(STAMP)
	$(BIN)/python -m pytest -q -n $(TEST_JOBS) --ignore=$(CROWD_TESTS) $(PYTEST_ARGS)
	$(BIN)/python -m pytest -q $(CROWD_TESTS) $(PYTEST_ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(if $(wildcard bench/*.py),$(BIN)/mypy bench)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=src \
	    --pyi_out=src --grpc_python_out=src proto/$(PROTO)

# Fails when the committed code is not what the schema gives.
check-proto: $(STAMP)
	rm -rf build/proto
	mkdir -p build/proto
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=build/proto \
	    --pyi_out=build/proto --grpc_python_out=build/proto proto/$(PROTO)
	diff --recursive --brief --exclude=__init__.py --exclude=__pycache__ \
	    build/proto/bankrudder/v1 $(GENERATED)

# Four kinds of failed request, explained from their ids by logs alone.
explain: $(STAMP)
	$(BIN)/python bench/explain.py

# Faults from outside on real daemons; SOAK_ARGS is passed on.
soak: $(STAMP)
	$(BIN)/python -m soak $(SOAK_ARGS)

# The users' bench, BENCH, over their site files below KIT; a large site takes half an
# hour, with two days at a time at most. The first two sites of all are no longer played.
REGRESSION_SITES ?= large/tarh-preorder-large further/drs-hobart \
    further-grown/drs-hobart-grown grown/flmc-quotes-grown grown/tarh-preorder-grown
REGRESSION_JOBS ?= 2
regression:
	test -n "$(BENCH)" -a -n "$(KIT)"
	for site in $(REGRESSION_SITES); do \
	    $(BENCH) score $(KIT)/$$site.toml --jobs $(REGRESSION_JOBS) \
	        --why "Regression" || exit 1; \
	done

# Writes the lock anew from what pyproject.toml allows today.
lock:
	rm -rf build/lock
	$(PYTHON) -m venv build/lock
	build/lock/bin/python -m pip install --quiet --disable-pip-version-check \
	    --editable '.[test,dev]'
	build/lock/bin/python -m pip freeze --all --exclude-editable \
	    | grep -v '^pip==' > requirements.lock

clean:
	rm -rf $(VENV) build
