#!/bin/sh
# Builds what the scripts start: pst-steerd with the command of deploy/system.toml. The stand-ins are Python
# programs (python3, standard library only); they are compiled once here, so that errors show early.
set -e
cd "$(dirname "$0")/.."
make -j6 B=target target/bin/pst-steerd
for f in review/lib/*.py review/[1-5]/*.py; do
	[ -e "$f" ] || continue
	PYTHONDONTWRITEBYTECODE=1 python3 -c "compile(open('$f').read(), '$f', 'exec')"
done
