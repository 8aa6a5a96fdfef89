#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] && [ -x target/mustarddoor-platform ] || exit 2
exec target/review/case-4 -record review/4/record.txt -trouble "$TROUBLE"
