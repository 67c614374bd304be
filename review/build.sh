#!/usr/bin/env bash
# The stand-ins are Python modules: check that they can be imported with the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="review:target/deps:." python3 -c "import standins.fleet"
