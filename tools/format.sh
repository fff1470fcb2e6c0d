#!/bin/bash
# Formats every hand-written source file; with --check only reports.
set -eu
cd "$(dirname "$0")/.."
mapfile -t files < <(find common policy agent platform steerd entryd controld lookupd pstctl fakes \
	tests bench -name '*.[ch]')
if [ "${1:-}" = --check ]; then
	clang-format --dry-run -Werror "${files[@]}"
else
	clang-format -i "${files[@]}"
fi
