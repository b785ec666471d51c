#!/usr/bin/env bash
# Checks the specification exhaustively with Spin.
#
# Usage: check.sh [PATTERN]   (PATTERN selects variants by name)
#
# Prints one line per variant: model, name, states stored, depth, seconds and
# result. Fails if a variant that should hold fails or is searched
# incompletely, if a weakened variant is not caught, or if a situation that
# must be reached is not reached.
set -euo pipefail

jobs=4          # searches at a time
memory_mb=1400  # per search; four of them stay under 6 GB
depth=1000000

here=$(cd "$(dirname "$0")" && pwd)
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

for tool in spin gcc; do
    command -v "$tool" >/dev/null || { echo "model: $tool is not installed" >&2; exit 1; }
done

# run_variant NUMBER MODEL NAME EXPECTED DEFINES...
run_variant() {
    local dir="$tmp/$1" line="$tmp/$1.line" model=$2 name=$3 expected=$4
    shift 4
    mkdir "$dir"
    cd "$dir"
    cp "$here/$model.pml" .
    local result=error errors states reached start seconds
    start=$(date +%s)
    if spin -a "$@" "$model.pml" >spin.out 2>&1 &&
        gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mb" -o pan pan.c >gcc.out 2>&1; then
        ./pan -m"$depth" -w22 >pan.out 2>&1 || true
    fi
    seconds=$(($(date +%s) - start))
    touch pan.out
    errors=$(grep -oE 'errors: [0-9]+' pan.out | head -n 1 | cut -d' ' -f2 || true)
    states=$(grep -E 'states, stored' pan.out | head -n 1 | awk '{print $1}' || true)
    reached=$(grep -oE 'depth reached [0-9]+' pan.out | head -n 1 | awk '{print $3}' || true)
    if [ "${errors:-}" = 0 ]; then
        result=holds
        # A truncated search proves nothing.
        if grep -qE 'MEMLIM|too small|not completed|out of memory|aborting' pan.out; then
            result=incomplete
        fi
    elif [ -n "${errors:-}" ] && grep -q 'assertion violated' pan.out; then
        result=refuted
    fi
    local verdict=FAIL
    case "$expected:$result" in
    hold:holds | caught:refuted | reached:refuted | unreached:holds) verdict=ok ;;
    esac
    printf '%-10s %-28s states %9s  depth %6s  %3ss  expected %-9s %-10s %s\n' \
        "$model" "$name" "${states:--}" "${reached:--}" "$seconds" "$expected" "$result" "$verdict" >"$line"
    if [ "$verdict" = FAIL ]; then
        { grep -hE 'rror|violated|MEMLIM|too small' spin.out gcc.out pan.out 2>/dev/null || true; } |
            head -n 5 | sed 's/^/    /' >>"$line"
    fi
    [ "$verdict" = ok ]
}
export -f run_variant
export here tmp memory_mb depth

# Columns: model, name, expected result, defines. Long searches come first.
n=0
while read -r model rest; do
    [[ -z $model || $model == \#* ]] && continue
    [[ -n ${1:-} && ! "$model $rest" =~ $1 ]] && continue
    n=$((n + 1))
    echo "$n $model $rest"
done <"$here/variants.txt" >"$tmp/list"

total=$(wc -l <"$tmp/list")
echo "model: searching $total variants, $jobs at a time"
status=0
xargs -P "$jobs" -L 1 bash -c 'run_variant "$@"' run <"$tmp/list" || status=1
for ((k = 1; k <= total; k++)); do
    cat "$tmp/$k.line" || status=1
done
good=$(cat "$tmp"/*.line | grep -c ' ok$' || true)
echo "model: $good of $total variants as expected"
[ "$status" = 0 ] && [ "$good" = "$total" ] && [ "$total" -gt 0 ]
