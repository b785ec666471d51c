#!/usr/bin/env bash
# Hosts are stopped one after the other while clients send further requests behind long ones.
# TROUBLE=0 leaves out the stops.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/lygate ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-standin -case stopping-long -lygate target/lygate -record "review/5/record.txt"
