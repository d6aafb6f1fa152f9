#!/bin/bash
# The stand-ins are Python programs without dependencies: there is nothing to build but their byte code.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -m compileall -q stand_ins [0-9]*/case.py
