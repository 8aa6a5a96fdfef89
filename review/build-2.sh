#!/bin/sh
# Builds what the scripts of the second review start, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-drive ./review/drive
