# The node's everyday commands. `build` is the operators' own, from deploy/balancer.toml.
BUILD = $(shell python3 -c "import tomllib; print(tomllib.load(open('deploy/balancer.toml', 'rb'))['build'])")
PYTHON = .venv/bin/python
BENCH_FILES = real.json wire.json unlock.txt
GIVEN = ../given/kit/sites

.PHONY: build dev test lint format run sites

build:
	$(BUILD)

dev: build
	$(PYTHON) -m pip -q install -r requirements-dev.txt

test: dev
	$(PYTHON) -m pytest -q -p no:cacheprovider

format: dev
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

run: build
	@test -n "$$PROXY_CONFIG" || { echo "set PROXY_CONFIG to the node's configuration file"; exit 2; }
	exec $(PYTHON) -m limerudder

# The bench wants its own files beside a site; they are not this repository's, and git ignores them.
sites:
	@for file in $(BENCH_FILES); do \
	    test -f $(GIVEN)/$$file || { echo "deploy/sites cannot be played: $(GIVEN)/$$file is not there"; exit 1; }; \
	    install -m 644 $(GIVEN)/$$file deploy/sites/$$file || exit 1; \
	done
