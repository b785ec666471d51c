#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in encodedslash headcrowd; do
	go build -o target/review-2/ "./review/stand2/$program"
done
