#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the storms of configurations.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustarddoor-platform ] && [ -x target/review-drive ] || { echo "build first"; exit 2; }
exec target/review-drive storms review/6/record.txt
