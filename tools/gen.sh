#!/bin/bash
# Regenerates schema/gen, conf/example.yaml and the generated pages.
# With --check, fails when the committed output differs.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
mkdir -p "$out/schema/gen" "$out/conf" "$out/docs/man"
for x in schema/*.x; do
	n=$(basename "$x" .x)
	(cd schema && rpcgen -N -M -C -h "$n.x" -o "$out/schema/gen/$n.h")
	(cd schema && rpcgen -N -M -C -c "$n.x" -o "$out/schema/gen/${n}_xdr.c")
	sed -i "s,include \"$n.h\",include \"schema/gen/$n.h\"," \
		"$out/schema/gen/${n}_xdr.c"
done
python3 tools/gen_settings.py "$out"
python3 tools/gen_catalogue.py "$out"
status=0
while read -r f; do
	if [ "${1:-}" = --check ]; then
		cmp -s "$out/$f" "$f" || { echo "stale: $f"; status=1; }
	else
		cp "$out/$f" "$f"
	fi
done < <(cd "$out" && find . -type f | sed 's,^\./,,')
exit $status
