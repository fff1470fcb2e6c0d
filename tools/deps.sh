#!/bin/bash
# Installs the Debian packages that the build, the checks and the tests need.
set -eu
packages=(build-essential pkg-config clang clang-format clang-tidy
	libapr1-dev libaprutil1-dev libmicrohttpd-dev libargtable2-dev
	liblog4c-dev check libcyaml-dev libjansson-dev libxxhash-dev
	libcurl4-openssl-dev libssl-dev libtirpc-dev zlib1g-dev rpcsvc-proto spin
	libhttp-parser-dev libev-dev python3 curl mandoc gnuplot-nox)
missing=()
for p in "${packages[@]}"; do
	state=$(dpkg-query -W -f='${Status}' "$p" 2>/dev/null || true)
	[ "$state" = 'install ok installed' ] || missing+=("$p")
done
[ ${#missing[@]} -gt 0 ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
