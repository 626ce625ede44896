#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
