#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python files that need only the standard library: nothing is compiled for them.
# This checks that they can be read; the forwarder comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins-2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
