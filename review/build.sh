#!/usr/bin/env bash
# The stand-ins need only the standard library; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-9]
