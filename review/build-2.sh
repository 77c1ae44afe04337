#!/usr/bin/env bash
# Prepares cases 4 to 6, after the build of the deploy file. The stand-ins are Python
# and use only the packages that this build has put under target/deps; they are compiled
# and imported here, so that whatever is missing shows before a case runs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -m compileall -q tests/outside tests/loopback.py review/harness_2.py \
    review/4 review/5 review/6
PYTHONPATH="$PWD/target/deps:$PWD/tests:$PWD/review" python3 -c "import harness_2"
