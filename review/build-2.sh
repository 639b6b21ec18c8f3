#!/usr/bin/env bash
# Checks that the stand-ins of the cases from 6 on can be imported; they are Python.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 -c "import review.stage"
