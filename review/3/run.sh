#!/usr/bin/env bash
# A server leaves while the store is down. TROUBLE=0 leaves out the outage of the store.
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/lygate ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-standin -case leaving -lygate target/lygate -record "review/3/record.txt"
