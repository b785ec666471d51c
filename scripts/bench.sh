#!/usr/bin/env bash
# Compares the placement policies, draws docs/placement.png and measures the
# cost of one decision. Arguments are passed on to lybench.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o bin/lybench ./cmd/lybench
bin/lybench --picture docs/placement.png "$@"
