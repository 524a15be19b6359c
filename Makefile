PYTHON = .venv/bin/python

.PHONY: build dev test lint run

build:
	sh deploy/build

dev: build
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt

test: dev
	$(PYTHON) -m pytest

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check vetchusher/net vetchusher/limits vetchusher/emulator tests/net_helpers.py tests/test_sockets.py tests/test_net.py tests/test_service.py
	$(PYTHON) -m mypy

run: build
	$(PYTHON) -m vetchusher serve
