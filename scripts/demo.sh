#!/usr/bin/env bash
# Runs the main job on loopback: the platform stand-in, backend servers and
# entry hosts as separate processes, requests end to end, then the loss of a
# server.
set -euo pipefail
cd "$(dirname "$0")/.."

platform=127.0.0.1:7400
logs=.demo
rm -rf "$logs" && mkdir -p "$logs"
source scripts/fleet.sh

# serve_all waits until all keys of a service are served.
serve_all() { # service
	local deadline=$((SECONDS + 30)) out
	until out=$(bin/lyload --target "$targets" --service "$1" --key ready --count 16 2>&1) && ! grep -q -e not-run -e may-have-run -e failed <<<"$out"; do
		if ((SECONDS > deadline)); then
			echo "$out" >&2
			echo "service $1 is not served after 30 s" >&2
			exit 1
		fi
		sleep 0.1
	done
}

echo "== platform, servers and entry hosts"
start platform bin/lylog --listen "$platform"
wait_port "$platform"
bin/lyctl publish --platform "http://$platform" --file scripts/demo/config.json
server booking-1 booking kgn-a 7501
server booking-2 booking kgn-a 7502
server booking-3 booking kgn-b 7503
server booking-4 booking kgn-b 7504
server rounds-1 rounds kgn-a 7505
server rounds-2 rounds kgn-a 7506
entry entry-a1 kgn-a 8110
entry entry-a2 kgn-a 8120
entry entry-b1 kgn-b 8130
entry entry-b2 kgn-b 8140
targets=127.0.0.1:8110,127.0.0.1:8120,127.0.0.1:8130,127.0.0.1:8140
for p in 8110 8120 8130 8140; do wait_port "127.0.0.1:$p"; done
for service in booking rounds; do serve_all "$service"; done

echo "== requests through all entry hosts"
bin/lyload --target "$targets" --service booking --customer pewright --key job --count 8
bin/lyload --target "$targets" --service rounds --customer sejk-kombi --key round --count 4 --write

echo "== server booking-1 is killed"
kill -9 "${pids[booking-1]}"
killed=$(date +%s%N)
sleep 0.05
until out=$(bin/lyload --target "$targets" --service booking --customer pewright --key job --count 8) && ! grep -q -e not-run -e may-have-run -e failed <<<"$out"; do
	if (($(date +%s%N) - killed > 10000000000)); then
		echo "$out"
		echo "keys were not served again within 10 s" >&2
		exit 1
	fi
	sleep 0.05
done
echo "$out"
echo "all keys served again after $((($(date +%s%N) - killed) / 1000000)) ms"

echo "== entry host entry-a1 is killed, requests through the others"
kill -9 "${pids[entry-a1]}"
others=127.0.0.1:8120,127.0.0.1:8130,127.0.0.1:8140
bin/lyload --target "$others" --service booking --customer pewright --key job --count 6
bin/lyload --target "$others" --service rounds --customer sejk-kombi --key round --count 3 --write

echo "== state of the fleet"
bin/lyctl status --platform "http://$platform"
bin/lyctl members --platform "http://$platform"
bin/lyctl explain --platform "http://$platform" --service booking --customer pewright --key job-1

echo "== entry hosts on the users' platform: stand-ins of its store and servers, faults from outside"
bin/lysoak --seed 7 --duration 5s
