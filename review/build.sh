#!/bin/sh
# Builds the stand-ins of the cases: Python files that need nothing beyond the build of the deploy file.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
