#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python sources that need the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2 6 9 10
