#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
export PYTHONPATH=target/deps
python3 -c "import aiohttp" || exit 2
exec python3 review/1/case.py
