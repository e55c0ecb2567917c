#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python, standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q site2 6 7 8 9 10 2>/dev/null || python3 -m compileall -q site2
