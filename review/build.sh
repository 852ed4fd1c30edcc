#!/bin/sh
# Compiles the stand-ins, which need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f standins [1-5]
