# PY may name another interpreter that already has the requirements installed.
PY ?= .venv/bin/python

.PHONY: demo test lint format types clean

$(PY): requirements.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt
	.venv/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $(PY)

demo: $(PY)
	$(PY) -m benchmarks.demo

test: $(PY)
	$(PY) -m pytest -n 6 --dist loadfile

lint: $(PY)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

types: $(PY)
	$(PY) -m mypy

format: $(PY)
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

clean:
	rm -rf .venv build
