#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/mustarddoor-platform ] || exit 2
exec target/review/case-1 -record review/1/record.txt
