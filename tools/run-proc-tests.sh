#!/bin/bash
# Runs each test that starts real processes (tests/proc/*.sh or *.py), one
# after the other. "proc NAME" in KNOWN-RED.txt is printed but not counted.
set -u
export PST_BIN=$PWD/$1/bin
passed=0 failed=0 red=0
shopt -s nullglob
for t in tests/proc/t_*; do
	name=$(basename "$t")
	if timeout 120 "$t"; then
		passed=$((passed + 1))
	elif grep -qs "^proc $name\b" KNOWN-RED.txt; then
		echo "known red: $name"
		red=$((red + 1))
	else
		echo "FAILED: $name"
		failed=$((failed + 1))
	fi
done
[ "$red" = 0 ] || echo "known red programs: $red"
echo "process: $passed passed, $failed failed"
[ "$failed" = 0 ]
