#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")"
exec python3 case.py
