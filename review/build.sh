#!/bin/sh
# Checks that the stand-ins of the cases, the project's own too, can be started: they
# are Python, so there is nothing to compile. Run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
"${PYTHON:-python3}" -c "import standins.fleet.store, deployment, poison, preemption" || exit 2
for case in review/[1-5]/case.py; do
    "${PYTHON:-python3}" -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" \
        "$case" || exit 2
done
