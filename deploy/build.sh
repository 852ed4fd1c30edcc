#!/bin/sh
# Installs the pinned libraries and a compiled copy of the package under target/.
set -eu
if [ target/deps/.installed -ot deploy/requirements.txt ] || [ ! -e target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-warn-script-location \
        --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/app
mkdir -p target/app
cp -R hornbeamdeal target/app/hornbeamdeal
cp deploy/__main__.py target/app/__main__.py
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app target/deps
