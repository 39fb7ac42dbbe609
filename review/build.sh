#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python of the standard library, so this compiles and imports them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3
python3 -c 'import sys; sys.path.insert(0, "common"); import fleet, standins'
