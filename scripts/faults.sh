#!/usr/bin/env bash
# Measures the unavailable time of keys on loopback: starts the platform
# stand-in, servers and entry hosts anew for each fault, and probes all keys
# while the fault happens. Prints one table row per fault. Arguments: names of
# the faults to run (all by default). Needs curl and jq.
set -euo pipefail
cd "$(dirname "$0")/.."

platform=127.0.0.1:9200
logs=.faults
bound=- # of the design, in ms; set per fault
seconds=8
before=2 # seconds of the probe before the fault
targets=127.0.0.1:9210,127.0.0.1:9220,127.0.0.1:9230,127.0.0.1:9240,127.0.0.1:9250
health=127.0.0.1:9212,127.0.0.1:9222,127.0.0.1:9232,127.0.0.1:9242,127.0.0.1:9252
declare -A pids ports

start() { # name command...
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	disown
	pids[$name]=$!
}

# kill_now returns when the processes are gone, so that their ports are free.
kill_now() { # names...
	local name killed=()
	for name in "$@"; do
		kill -KILL "${pids[$name]}"
		killed+=("${pids[$name]}")
		unset "pids[$name]"
	done
	wait_gone "${killed[@]}"
}

wait_gone() { # pids...
	local pid
	for pid in "$@"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.005; done; done
}

stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait_gone "${pids[@]}"
	pids=()
}

wait_port() { # host:port
	for _ in $(seq 200); do
		if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return; fi
		sleep 0.05
	done
	echo "no answer from $1" >&2
	exit 1
}

register() { # id json
	curl -fsS -o "$dir/register" -X PUT "http://$platform/hosts/$1" -d "$2"
}

run_server() { # id
	start "$1" bin/lyserver --id "$1" --listen "127.0.0.1:${ports[$1]}" --work 0s --run-log "$dir/runs.$1"
}

server() { # id data-centre port
	ports[$1]=$3
	run_server "$1"
	list_server "$1" "$2" false
}

list_server() { # id data-centre leaving
	register "$1" "{\"role\":\"server\",\"service\":\"booking\",\"data_centre\":\"$2\",\"address\":\"127.0.0.1:${ports[$1]}\",\"leaving\":$3}"
}

# leave marks a server as leaving and stops it when it has had time to drain.
leave() { # id data-centre seconds
	list_server "$1" "$2" true
	sleep "$3"
	kill_now "$1"
}

entry() { # id data-centre port
	start "$1" bin/lyrouter --host "$1" --data-centre "$2" --platform "http://$platform" \
		--listen "127.0.0.1:$3" --peer "127.0.0.1:$(($3 + 1))" --admin "127.0.0.1:$(($3 + 2))"
	register "$1" "{\"role\":\"entry\",\"data_centre\":\"$2\",\"address\":\"127.0.0.1:$(($3 + 1))\",\"admin\":\"127.0.0.1:$(($3 + 2))\"}"
}

probe() { # seconds [flags]
	local s=$1
	shift
	bin/lyload --probe --json --target "$targets" --health "$health" --key job --keys 64 --timeout 4s --duration "${s}s" "$@"
}

fleet() {
	start platform bin/lylog --listen "$platform"
	wait_port "$platform"
	bin/lyctl publish --platform "http://$platform" --file scripts/faults/config.json >"$dir/publish"
	local i
	for i in 1 2 3 4; do server "server-a$i" kgn-a "926$i"; done
	for i in 1 2; do server "server-b$i" kgn-b "927$i"; done
	entry entry-a1 kgn-a 9210
	entry entry-a2 kgn-a 9220
	entry entry-a3 kgn-a 9230
	entry entry-b1 kgn-b 9240
	entry entry-b2 kgn-b 9250
	for i in 9210 9220 9230 9240 9250; do wait_port "127.0.0.1:$i"; done
	for i in $(seq 10); do
		sleep 1
		# The leases of the first servers must have spread before a fault.
		if [ "$(probe 1 | jq '.never_served + .verdicts["not-run"] + .verdicts["may-have-run"]')" = 0 ]; then return; fi
	done
	echo "fleet does not serve all keys" >&2
	exit 1
}

leader() { # host that leads the partition of data centre kgn-a
	bin/lyctl status --json --platform "http://$platform" |
		jq -r '[.[] | select(.status.data_centre == "kgn-a" and (.status.partitions | length) > 0) | .status.host][0]'
}
others() { # entry hosts of kgn-a that do not lead
	local h
	for h in entry-a1 entry-a2 entry-a3; do [ "$h" = "$lead" ] || echo "$h"; done
}
log_faults() { curl -fsS -o "$dir/log_faults" -X PUT "http://$platform/faults" -d "$1"; }
appends() { curl -fsS "http://$platform/stats" | jq .appends; }
freeze() { # name seconds
	kill -STOP "${pids[$1]}"
	sleep "$2"
	kill -CONT "${pids[$1]}"
}

# plan sets the design's bound and the length of the probe.
plan() { # fault
	bound=- seconds=8 before=2
	case $1 in
	none) bound=0 ;;
	server-killed) bound=1310 ;;
	server-frozen) bound=1310 seconds=10 ;;
	server-restarted) bound=410 ;;
	server-leaving) bound=0 seconds=10 ;;
	leader-killed) bound=910 ;;
	leader-frozen) bound=910 seconds=10 ;;
	other-killed) bound=0 ;;
	leader-stopped) bound=0 ;;
	leader-and-server) bound=1420 ;;
	log-down) bound=0 seconds=14 ;;
	log-down-server) bound=1310 seconds=10 ;;
	log-down-leader) bound=910 seconds=14 ;;
	log-down-stopped) bound=0 seconds=14 ;;
	majority-killed) bound=- seconds=12 ;;
	log-loses-replies) bound=0 ;;
	esac
}
fault() { # fault
	case $1 in
	none) ;;
	server-killed) kill_now server-a1 ;;
	server-frozen) freeze server-a1 5 ;;
	server-restarted) kill_now server-a1 && run_server server-a1 ;;
	server-leaving) leave server-a1 kgn-a 4 ;;
	leader-killed) kill_now "$lead" ;;
	leader-frozen) freeze "$lead" 5 ;;
	other-killed) kill_now "$(others | head -1)" ;;
	leader-stopped) kill -TERM "${pids[$lead]}" ;;
	leader-and-server) kill_now "$lead" server-a1 ;;
	log-down) log_faults '{"down":true}' && sleep 10 && log_faults '{}' ;;
	log-down-server) log_faults '{"down":true}' && sleep 2 && kill_now server-a1 ;;
	log-down-leader) log_faults '{"down":true}' && sleep 6 && kill_now "$lead" ;;
	log-down-stopped) log_faults '{"down":true}' && sleep 6 && kill -TERM "${pids[$lead]}" ;;
	majority-killed) kill_now "$lead" "$(others | head -1)" ;;
	log-loses-replies) log_faults '{"lose_replies":true}' ;;
	*) echo "unknown fault $1" >&2 && exit 2 ;;
	esac
}

# checks prints the number of ids that ran twice and of those that ran although
# the caller was told that they did not.
checks() {
	cat "$dir"/runs.* | sort >"$dir/ran"
	local twice wrong
	twice=$(uniq -d "$dir/ran" | wc -l)
	wrong=$(awk '$2 == "not-run" {print $1}' "$dir/ids" | sort | comm -12 - <(sort -u "$dir/ran") | wc -l)
	echo "$twice | $wrong"
}

row() { # fault
	dir=$logs/$1
	mkdir -p "$dir"
	plan "$1"
	fleet
	lead=$(leader)
	probe "$seconds" --ids "$dir/ids" >"$dir/probe.json" &
	local running=$!
	sleep "$before"
	local from to
	from=$(appends)
	fault "$1"
	wait "$running"
	to=$(appends)
	jq -r --arg name "$1" --arg bound "$bound" --arg appends "$((to - from))" --arg checks "$(checks)" '
		"| \($name) | \($bound) | \(.affected_keys) | \(.median_ms | round) | \(.worst_ms | round) | \(.write_worst_ms | round) | \(.slow) | \(.verdicts["not-run"]) | \(.verdicts["may-have-run"]) | \(.codes | to_entries | map("\(.key) \(.value)") | join(", ")) | \($appends) | \($checks) |"' "$dir/probe.json"
	stop_all
}

rm -rf "$logs"
faults=("$@")
if [ $# = 0 ]; then
	faults=(none server-killed server-frozen server-restarted server-leaving leader-killed leader-frozen other-killed leader-stopped
		leader-and-server log-down log-down-server log-down-leader log-down-stopped majority-killed log-loses-replies)
fi
echo "| fault | bound ms | keys affected | median ms | worst ms | worst of writes ms | slow answers | not run | may have run | error codes | log appends | ran twice | not run but ran |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|"
failed=0
for f in "${faults[@]}"; do
	# A row that cannot be measured must not end the run; set -e has no effect
	# inside a command that is followed by ||.
	set +e
	(
		set -e
		trap stop_all EXIT
		row "$f"
	)
	rc=$?
	set -e
	if [ $rc != 0 ]; then
		echo "| $f | not measured, see $logs/$f |"
		failed=1
	fi
done
exit $failed
