#!/bin/bash
# Runs each module's test program, PST_UNIT_JOBS at a time; prints their output
# in order, with check's closing lines, and a total. A program named in
# KNOWN-RED.txt as "unit NAME" is printed but not counted.
set -u
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export out
tests=()
for t in "$1"/tests/test_*; do
	case $t in *.o | *.d) continue ;; esac
	tests+=("$t")
done
printf '%s\n' "${tests[@]}" |
	xargs -P "${PST_UNIT_JOBS:-3}" -L1 bash -c 'name=$(basename "$0")
	timeout 120 "$0" >"$out/$name.log" 2>&1 </dev/null
	echo $? >"$out/$name.status"'
passed=0 failed=0 red=0
for t in "${tests[@]}"; do
	name=$(basename "$t")
	cat "$out/$name.log"
	if [ "$(cat "$out/$name.status")" = 0 ]; then
		passed=$((passed + 1))
	elif grep -qs "^unit $name\b" KNOWN-RED.txt; then
		echo "known red: $name"
		red=$((red + 1))
	else
		echo "FAILED: $name (status $(cat "$out/$name.status"))"
		failed=$((failed + 1))
	fi
done
[ "$red" = 0 ] || echo "known red programs: $red"
echo "unit: $passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" -gt 0 ]
