#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15: the clients, workers and stores that their scripts
# start. The daemon itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/ ./review/third/...
