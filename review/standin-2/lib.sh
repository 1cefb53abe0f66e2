# Functions of the scripts of the second review. A script sets "dir" to its folder first.
# Starts a store, executors and daemons on free ports of the loopback address, and ends them all on exit.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=$root/target/review-2/bin
here=$root/review/standin-2
tmp=$(mktemp -d)
value_bytes=1048576
record=$dir/record.txt
declare -A pids lives proxy_port
begun=$(date +%s%3N)
: > "$record"

# Writes a line with the time in milliseconds since the start of the script.
note() { printf '%6d %s\n' $(($(date +%s%3N) - begun)) "$*" >> "$record"; }

unusable() {
    note "the case could not run: $*"
    exit 2
}

end_all() {
    # The shell must not report the processes that it ends.
    for name in "${!pids[@]}"; do
        { kill -9 "${pids[$name]}" && wait "${pids[$name]}"; } 2>/dev/null
    done
    rm -rf "$tmp"
}
trap end_all EXIT

call() { python3 "$here/tool.py" call "$@"; }

free_ports() { python3 "$here/tool.py" ports "$1"; }

start_store() {
    python3 "$here/store.py" "$value_bytes" > "$tmp/store.out" 2>&1 &
    pids[store]=$!
    for _ in $(seq 100); do
        store_port=$(sed -n 's/^listening port=//p' "$tmp/store.out")
        [ -n "$store_port" ] && return
        sleep 0.05
    done
    unusable "no store"
}

# start_executor ID ZONE RACK. Its events go to $tmp/ID.N.out, N its life. The store stand-in lists it for as long as it is up, so it sends no heartbeats itself.
start_executor() {
    local port="" cpu=${cpu_millis:-4000}
    lives[$1]=$((${lives[$1]:-0} + 1))
    local out=$tmp/$1.${lives[$1]}.out
    "$bin/standin_platform" executor --id="$1" --store=http://127.0.0.1:1 --advertise=127.0.0.1:1 --zone="$2" --rack="$3" --cpu-millis="$cpu" \
        > "$out" 2>> "$tmp/$1.err" &
    pids[$1]=$!
    for _ in $(seq 100); do
        port=$(sed -n 's/^listening port=//p' "$out")
        [ -n "$port" ] && break
        sleep 0.02
    done
    [ -n "$port" ] || unusable "no executor $1"
    # Behind a proxy, if it has one.
    printf %s "$port" > "$tmp/$1.target"
    local fence=""
    [ -z "${proxy_port[$1]:-}" ] || fence=$(sed -n 's/.*"fence":\([0-9]*\).*/\1/p' "$tmp/$1.proxy")
    fence=${fence:-0}
    port=${proxy_port[$1]:-$port}
    python3 "$here/tool.py" register "127.0.0.1:$store_port" "$1" "127.0.0.1:$port" "$2" "$3" "$cpu" "$fence"
    note "executor $1 started in $2, $3"
}

# start_proxy ID: a proxy in front of the executor ID, to be started before it. It keeps the next start once $tmp/ID.arm exists.
start_proxy() {
    python3 "$here/late_proxy.py" "$tmp/$1.target" "$tmp/$1.arm" > "$tmp/$1.proxy" 2>&1 &
    pids[proxy_$1]=$!
    for _ in $(seq 100); do
        proxy_port[$1]=$(sed -n 's/^listening port=//p' "$tmp/$1.proxy")
        [ -n "${proxy_port[$1]}" ] && return
        sleep 0.02
    done
    unusable "no proxy of $1"
}

# The platform lists the machine of a crashed executor as down.
crash_executor() {
    { kill -9 "${pids[$1]}" && wait "${pids[$1]}"; } 2>/dev/null
    call POST "127.0.0.1:$store_port" /standin/executor "{\"id\":\"$1\",\"up\":false}" > /dev/null
    note "executor $1 crashed"
}

# start_daemon NAME ZONE
start_daemon() {
    if [ ! -e "$tmp/$1.conf" ]; then
        mapfile -t ports < <(free_ports 3)
        cat > "$tmp/$1.conf" <<CONF
node=$1
role=scheduler
machine_class=edge
serves=edge
ip=127.0.0.1
zone=$2
region=r
listen.front=127.0.0.1:${ports[0]}
listen.ready=127.0.0.1:${ports[1]}
port_range=${ports[2]},${ports[2]}
limits.cpu_share=0.1
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.evacuate_ms=5000
bounds.hold_max_ms=10000
bounds.status_s=120
bounds.cancel_ms=3000
control_mode=call
platform.address=127.0.0.1:$store_port
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=$value_bytes
platform.ttl_min_ms=1000
cloud_api.address=127.0.0.1:$store_port
CONF
    fi
    front=$(sed -n 's/^listen.front=//p' "$tmp/$1.conf")
    # The command of the deploy file.
    (cd "$root" && KINGCUPLOOM_NODE_FILE=$tmp/$1.conf exec target/bin/kingcuploomd platform) >> "$tmp/$1.log" 2>&1 &
    pids[$1]=$!
    note "daemon $1 started"
}

front_of() { sed -n 's/^listen.front=//p' "$tmp/$1.conf"; }

# wait_ready NAME...
wait_ready() {
    local name ready
    for name in "$@"; do
        ready=$(sed -n 's/^listen.ready=//p' "$tmp/$name.conf")
        for _ in $(seq 100); do
            [ "$(call GET "$ready" /ready | cut -c1-3)" = 200 ] && break
            sleep 0.1
        done
        [ "$(call GET "$ready" /ready | cut -c1-3)" = 200 ] || unusable "daemon $name is not ready"
    done
}

# write_config VERSION [MAX_ATTEMPTS]
write_config() {
    local config
    config="{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"q.example\",\"prefix\":\"/q/\",\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":250,\"priority\":0,\"service\":\"soak\",\"max_attempts\":${2:-3},\"stretch\":1.5}],\"services\":[{\"name\":\"soak\",\"admission_check\":true}],\"limits\":{}}"
    call POST "127.0.0.1:$store_port" /standin/operator "{\"key\":\"op/config\",\"value\":\"${config//\"/\\\"}\"}" > /dev/null
    note "configuration $1 written"
}

# submit FRONT ID BODY: prints the status.
submit() {
    local answer
    answer=$(call POST "$1" "/q/$2" "$3")
    note "POST $2 $3 -> $answer"
    echo "${answer:0:3}"
}

# state_of FRONT ID: prints the state, or the status if it is not 200.
state_of() {
    local answer
    answer=$(call GET "$1" "/q/$2")
    case $answer in
    200*) sed 's/.*"state":"\([a-z]*\)".*/\1/' <<< "$answer" ;;
    *) echo "${answer:0:3}" ;;
    esac
}

# Appends the events of the executors to the record, in the order of their times.
record_events() {
    echo "events of the executors (microseconds of the steady clock):" >> "$record"
    for file in "$tmp"/e*.out; do
        sed -n "s/^event=/$(basename "$file" | cut -d. -f1) event=/p" "$file"
    done | sed 's/ fence=[^ ]* checkpoint=[^ ]*//' | sort -t= -k3,3n >> "$record"
}
