#!/bin/bash
# Runs every capacity measurement; each prints CSV lines
# role,quantity,size,value,unit.
set -eu
build=$1
echo role,quantity,size,value,unit
for b in "$build"/bench/cap_*; do
	case $b in *.o | *.d) continue ;; esac
	"$b"
done
