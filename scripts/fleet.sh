# Functions of the scripts that start a fleet on loopback. The caller sets
# platform (host:port of the platform stand-in) and logs (an existing folder).
# All processes that were started end with the script.
declare -A pids

start() { # name command...
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	disown
	pids[$name]=$!
}

# stop_all returns when the processes are gone, so that their ports are free.
stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for _ in $(seq 100); do
		kill -0 "${pids[@]}" 2>/dev/null || return 0
		sleep 0.1
	done
	kill -9 "${pids[@]}" 2>/dev/null || true
}
trap stop_all EXIT

register() { # id json
	curl -fsS -X PUT "http://$platform/hosts/$1" -d "$2"
}

wait_port() { # host:port
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return; fi
		sleep 0.05
	done
	echo "no answer from $1" >&2
	exit 1
}

server() { # id service data-centre port
	start "$1" bin/lyserver --id "$1" --listen "127.0.0.1:$4"
	register "$1" "{\"role\":\"server\",\"service\":\"$2\",\"data_centre\":\"$3\",\"address\":\"127.0.0.1:$4\"}"
}

# entry uses the port for callers, and the next two for peers and operators.
entry() { # id data-centre port
	start "$1" bin/lyrouter --host "$1" --data-centre "$2" --platform "http://$platform" \
		--listen "127.0.0.1:$3" --peer "127.0.0.1:$(($3 + 1))" --admin "127.0.0.1:$(($3 + 2))"
	register "$1" "{\"role\":\"entry\",\"data_centre\":\"$2\",\"address\":\"127.0.0.1:$(($3 + 1))\",\"admin\":\"127.0.0.1:$(($3 + 2))\"}"
}
