#!/bin/sh
# Builds the stand-ins that the scripts start: byte code is all they need.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py */*.py
