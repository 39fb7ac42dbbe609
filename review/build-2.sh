#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the project's own programs. Their stand-ins are Python
# sources that need nothing but the standard library of Python 3.11, so they are only compiled here, and nothing is kept.
cd "$(dirname "$0")" || exit 2
for source in deployment_2.py play_2.py [4-8]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source" || exit 1
done
