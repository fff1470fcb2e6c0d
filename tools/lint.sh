#!/bin/bash
# Runs clang-tidy over every hand-written C file, or over those named.
set -eu
cd "$(dirname "$0")/.."
pkgs='apr-1 apr-util-1 libmicrohttpd libcurl jansson libcyaml libxxhash
	libtirpc argtable2 libcrypto zlib check'
flags=$(pkg-config --cflags $pkgs | sed 's/-I/-isystem /g')
if [ $# -gt 0 ]; then
	files=("$@")
else
	mapfile -t files < <(find common policy agent platform steerd entryd controld lookupd pstctl \
		fakes tests bench -name '*.c')
fi
export flags
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 4 sh -c \
	'clang-tidy --quiet "$@" -- -std=gnu11 -I. $flags -D_GNU_SOURCE \
	-DPST_VERSION="\"lint\"" 2>/dev/null' lint
