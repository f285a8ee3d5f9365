#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain modules without dependencies, so they
# are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do
  node --check "$file"
done
