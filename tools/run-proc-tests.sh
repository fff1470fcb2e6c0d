#!/bin/bash
# Runs each test that starts real processes (tests/proc/t_*), PST_JOBS at a
# time, and prints their output in order. "proc NAME" in KNOWN-RED.txt is
# printed but not counted. Those that measure how much of a capacity is used
# have a line "# Runs alone" and do: what runs beside them would be measured.
set -u
export PST_BIN=$PWD/$1/bin
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export out
run_all() {
	xargs -r -P "$1" -L1 bash -c 'name=$(basename "$0")
	timeout 180 "$0" \
		>"$out/$name.log" 2>&1 </dev/null
	echo $? >"$out/$name.status"'
}
grep -L '^# Runs alone' tests/proc/t_* | run_all "${PST_JOBS:-3}"
grep -l '^# Runs alone' tests/proc/t_* | run_all 1
passed=0 failed=0 red=0
for t in tests/proc/t_*; do
	name=$(basename "$t")
	cat "$out/$name.log"
	if [ "$(cat "$out/$name.status")" = 0 ]; then
		passed=$((passed + 1))
	elif grep -qs "^proc $name\b" KNOWN-RED.txt; then
		echo "known red: $name"
		red=$((red + 1))
	else
		echo "FAILED: $name (status $(cat "$out/$name.status"))"
		failed=$((failed + 1))
	fi
done
[ "$red" = 0 ] || echo "known red programs: $red"
echo "process: $passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" -gt 0 ]
