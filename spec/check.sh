#!/usr/bin/env bash
# Checks the specification with Spin.
set -euo pipefail
echo "model: no specification yet"
