#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: they are Python and need the libraries that
# the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review/standins_2 lentilring/standin
python3 -c 'import msgspec, h11'
