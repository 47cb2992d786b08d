#!/bin/sh
# Build the stand-ins of the scripts of the second review. They are plain Python and need no more
# than target/deps, which the build of the deploy file made, so they are only compiled here.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q standins review/stand2.py review/[6-9]
