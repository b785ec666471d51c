#!/usr/bin/env bash
# Three of 23 servers send heads without end. TROUBLE=0 leaves these out.
# Exits with 1 if a process exceeded its memory, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/lygate ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-standin -case endless -lygate target/lygate -record "review/4/record.txt"
