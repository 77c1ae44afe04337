#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the review start. They are Python and need
# only what the build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review tests/outside tests/loopback.py
