#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/standins_3"
python3 -m compileall -q lentilring review/standins_3
python3 -c "import scene"
