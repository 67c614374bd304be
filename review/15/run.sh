#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption; case.py gets the variable from here.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/standins_3"
# An error in an import would end Python with 1, which stands for a broken rule.
python3 -c 'import scene, silence' || exit 2
exec python3 review/15/case.py
