#!/bin/sh
# Puts the libraries and the package under target/deps, as byte code too.
set -eu
mkdir -p target
if [ target/.installed -ot deploy/requirements.txt ] || [ ! -f target/.installed ]; then
  python3 -m pip install --quiet --disable-pip-version-check --upgrade \
    --target target/deps -r deploy/requirements.txt
  touch target/.installed
fi
rm -rf target/deps/snipesaddle
cp -R src/snipesaddle target/deps/snipesaddle
python3 -m compileall -q target/deps
