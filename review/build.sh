#!/bin/sh
# The stand-ins need no build: they are Python, standard library only. This checks that they can run.
cd "$(dirname "$0")" || exit 2
python3 -B -c 'import tomllib, standins'
