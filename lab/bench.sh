#!/bin/bash
# Measures both deployments at full size; options as in bench.py --help.
set -eu
cd "$(dirname "$0")/.."
exec timeout 900 python3 lab/bench.py "$@"
