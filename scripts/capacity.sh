#!/usr/bin/env bash
# Prints all figures of docs/CAPACITY.md: slopes of control, then existing
# benchmarks, then idle processes on loopback ports 95xx.
set -euo pipefail
cd "$(dirname "$0")/.."

platform=127.0.0.1:9500
logs=.demo/capacity
seconds=20
rm -rf "$logs" && mkdir -p "$logs"
export GOTRACEBACK=all # SIGQUIT then lists all goroutines
source scripts/fleet.sh

cpu_ms() { # pid
	# The name in the second field contains no space.
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"
}

processes() {
	start platform bin/lylog --listen "$platform"
	wait_port "$platform"
	# One service with one partition in one data centre.
	cat >"$logs/config.json" <<-JSON
		{"services": {"booking": {"shards": 64, "data_centres": ["kgn-a"], "checks_fences": true, "slots": 2, "max_conns": 130}},
		 "customers": {"pewright": {"share": 1}}}
	JSON
	bin/lyctl publish --platform "http://$platform" --file "$logs/config.json"
	for i in 1 2 3; do
		server "booking-$i" booking kgn-a "955$i"
	done
	for i in 1 2 3; do
		entry "entry-$i" kgn-a "95${i}0"
	done
	for i in 1 2 3; do wait_port "127.0.0.1:95${i}0"; done
	sleep 6 # leaders start, and lists grow to three members
	declare -A before
	declare -A leads
	for i in 1 2 3; do
		before[$i]=$(cpu_ms "${pids[entry-$i]}")
		leads[$i]=$(curl -fsS "http://127.0.0.1:95${i}2/v1/status" | grep -o '"lead_ms":[^-0]' | wc -l || true)
	done
	sleep "$seconds"
	for i in 1 2 3; do
		local pid=${pids[entry-$i]} used rss
		used=$(awk -v a="${before[$i]}" -v b="$(cpu_ms "$pid")" -v s="$seconds" 'BEGIN {printf "%.2f", (b - a) / s / 10}')
		rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
		kill -QUIT "$pid" # ends with a list of all goroutines
		sleep 0.5
		echo "entry-$i: leads ${leads[$i]} partitions, CPU $used % of a core, RSS $rss KiB, goroutines $(grep -c '^goroutine ' "$logs/entry-$i.log")"
	done
}

go build -o bin/ ./cmd/...
echo "== slopes of control"
bin/lycapacity
echo "== relay"
go test -count=1 -run 'TestBytes$' -v ./internal/relay | grep -e 'B/s' -e '^FAIL' -e '^ok'
echo "== fold of records and snapshots"
go test -run '^$' -bench Fold -benchtime=20x ./internal/state | grep -e '^Benchmark' -e '^FAIL' -e '^ok'
echo "== request path"
go test -run '^$' -bench 'Hops/reused' -benchtime=20000x ./internal/hopbench | grep -e '^Benchmark' -e '^FAIL' -e '^ok'
echo "== placement"
bin/lybench --part slopes
echo "== idle processes, $seconds s"
processes
