#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python of the standard library, so this compiles and imports them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q fleet.py standins.py 1 2 3
python3 -c 'import fleet, standins'
