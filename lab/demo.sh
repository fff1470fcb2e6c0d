#!/bin/bash
# The demo; --full for all VMs, conf/fund.yaml or conf/guild.yaml for one.
set -eu
cd "$(dirname "$0")/.."
exec timeout 120 python3 lab/demo.py "$@"
