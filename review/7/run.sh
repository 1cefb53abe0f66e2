#!/bin/bash
# A job of one task. Its first start gets no answer and is carried out late; a repetition of it is answered, and the task is done. Then the executor
# restarts under its id, and its next life carries the late start out.
# TROUBLE=0: the start is answered, and the executor does not restart.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
. "$dir/../standin-2/lib.sh"

job=5c0e7a21d94b36f8
executors=8
trouble=${TROUBLE:-1}

start_store
write_config 1
start_proxy e1
for i in $(seq $executors); do
    start_executor "e$i" "z$((i % 3))" "r1-$i"
done
for i in 1 2 3; do
    start_daemon "d$i" "z$((i % 3))"
done
wait_ready d1 d2 d3
sleep 2

# The task's data is in the rack of e1, which is the only executor there.
body='{"spec":"work_ms=400 cpu=1000","phases":[{"count":1,"cpu":1000,"mem_mb":256,"est_runtime_ms":400,"required_label":"r1-1"}]}'
[ "$trouble" = 0 ] || : > "$tmp/e1.arm"
[ "$(submit "$(front_of d1)" $job "$body")" = 200 ] || unusable "the job was not accepted"
# Other starts, so that the one without an answer is a small share.
others='{"spec":"work_ms=300 cpu=100","phases":[{"count":36,"cpu":100,"mem_mb":64,"est_runtime_ms":300,"required_label":"r1-2"}]}'
[ "$(submit "$(front_of d3)" 77aa01c2d94b36f8 "$others")" = 200 ] || unusable "the other job was not accepted"
for _ in $(seq 100); do
    state=$(state_of "$(front_of d2)" $job)
    [ "$state" = completed ] && break
    sleep 0.1
done
note "GET $job -> $state"
[ "$state" = completed ] || unusable "the job has not been completed"
sleep 1
if [ "$trouble" != 0 ]; then
    grep -q 'event=start_unanswered' "$tmp/e1.proxy" || unusable "no start was kept"
    grep -q 'event=noted' "$tmp"/e1.*.out || unusable "the end has not been acknowledged"
    crash_executor e1
    sleep 1
    start_executor e1 z1 r1-1
fi
sleep 3
note "GET $job -> $(state_of "$(front_of d2)" $job)"
echo "starts that were kept by the proxy of e1:" >> "$record"
grep '^event=' "$tmp/e1.proxy" >> "$record"
record_events
# A start after an end as done that was acknowledged.
twice=$(grep -E "event=[a-z]+ .*task=$job" "$record" | sed -n '/event=noted .*how=done/,$p' | grep -c 'event=start ')
note "starts in all: $(grep -c 'event=start ' "$record")"
note "starts after the acknowledged end: $twice"
[ "$twice" -eq 0 ] && exit 0
exit 1
