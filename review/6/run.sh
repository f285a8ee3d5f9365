#!/usr/bin/env bash
# A stream with a long body whose engine leaves as planned. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
