#!/bin/bash
# A job of one healthy task. The executor that runs it crashes three times, each time another one or the same, while all others are up.
# TROUBLE=0: no executor crashes.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
. "$dir/../standin-2/lib.sh"

job=5c0e7a21d94b36f8
crashes=3
executors=8

start_store
write_config 1
for i in $(seq $executors); do
    start_executor "e$i" "z$((i % 3))" "r1-$((i / 2))"
done
for i in 1 2 3; do
    start_daemon "d$i" "z$((i % 3))"
done
wait_ready d1 d2 d3
sleep 2

body='{"spec":"work_ms=5000 cpu=1000","phases":[{"count":1,"cpu":1000,"mem_mb":256,"est_runtime_ms":5000}]}'
[ "$(submit "$(front_of d1)" $job "$body")" = 200 ] || unusable "the job was not accepted"

# Prints the time of the newest start of the task, its executor and the number of its run.
find_start() {
    local i
    for i in $(seq $executors); do
        cat "$tmp/e$i".*.out | sed -n "s/^event=start at=\([0-9]*\) .* run=\([0-9]*\) .*/\1 e$i \2/p"
    done | sort -n | tail -1
}

seen=""
if [ "${TROUBLE:-1}" != 0 ]; then
    for _ in $(seq $crashes); do
        for _ in $(seq 400); do
            start=$(find_start)
            [ -n "$start" ] && [ "$start" != "$seen" ] && break
            sleep 0.05
        done
        [ "$start" != "$seen" ] || break
        seen=$start
        read -r _ executor run <<< "$start"
        sleep 0.5
        note "run $run of the task is on $executor"
        crash_executor "$executor"
        sleep 1
        i=${executor#e}
        start_executor "$executor" "z$((i % 3))" "r1-$((i / 2))"
    done
fi

state=none
for _ in $(seq 90); do
    last=$state
    state=$(state_of "$(front_of d2)" $job)
    [ "$state" = "$last" ] || note "GET $job -> $state"
    case $state in completed | failed | cancelled | 410) break ;; esac
    sleep 0.5
done
record_events
failures=$(grep -c 'event=end .*how=failed' "$record")
note "the job is shown as $state; runs that ended failed: $failures"
case $state in
completed) exit 0 ;;
failed) [ "$failures" -ge 3 ] && exit 0 || exit 1 ;;
*) exit 1 ;;
esac
