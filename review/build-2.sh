#!/usr/bin/env bash
# The stand-ins of the second review (review/lib-2) are plain modules of Node.js: nothing is built for
# them. The scripts start only the program that the build of the deploy file puts at `target/`.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/bramleyvane.cjs
