#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]/main.go; do
	number=$(basename "$(dirname "$case")")
	go build -tags review -o "target/review/case-$number" "./review/$number"
done
