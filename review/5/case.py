"""An unanswered write of the waiting jobs' number is carried out late."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import deployment

WINDOW_S = 4.5
LATE_S = 4.0
EARLY_JOBS = 3
LATE_JOBS = 9
VISIBLE_S = 3.0 + 2.0
CONTACT_S = 3.0


def run():
    it = deployment.Deployment(pathlib.Path(__file__).parent, executors=3, cpu_millis=16000)
    it.start([{}])
    lock = threading.Lock()
    counts = {"writes": 0, "late": 0}
    is_window = threading.Event()

    def late_by(keys):
        if not is_window.is_set():
            return None
        with lock:
            counts["writes"] += 1
            is_hit = counts["late"] == 0 and keys == ["kc/pending"]
            counts["late"] += is_hit
        if is_hit:
            it.record("store write_unanswered keys=kc/pending")
        return LATE_S if is_hit else None

    it.store.late_by = late_by
    # Tasks that last fill the executors.
    filling = deployment.job_id()
    it.submit(filling, [{"count": 3, "cpu": 15000, "mem_mb": 6400, "est_runtime_ms": 500, "long_running": True}], "cpu=15000 mem=6400 stands=1")
    time.sleep(3)
    phases = [{"count": 1, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 1000}]

    def hand_in(number):
        for _ in range(number):
            if not it.submit(deployment.job_id(), phases, "cpu=4000 mem=100 work_ms=1000"):
                raise deployment.CannotRun("a job was not accepted")

    if deployment.is_troubled():
        is_window.set()
    window_end = time.monotonic() + WINDOW_S
    hand_in(EARLY_JOBS)
    time.sleep(1.3)
    hand_in(LATE_JOBS)
    handed_in = time.monotonic()
    time.sleep(max(0, window_end - time.monotonic()))
    is_window.clear()
    it.record(f"window writes={counts['writes']} late={counts['late']}")
    if deployment.is_troubled() and counts["late"] != 1:
        raise deployment.CannotRun("no write of the number fell into the window")
    judged_from = max(handed_in + VISIBLE_S, window_end + CONTACT_S, window_end + LATE_S)
    time.sleep(max(0, judged_from + 0.5 - time.monotonic()))
    findings = []
    truth = EARLY_JOBS + LATE_JOBS
    if sum(row["event"] == "start" for row in it.events()) != 3:
        raise deployment.CannotRun("a waiting job has begun")
    for _ in range(8):
        for daemon in it.daemons:
            status, answer = it.call(daemon, "GET", "/q/")
            if status == 200 and answer["pending"] * 2 < truth:
                findings.append(f"MIXED {daemon} gives {answer['pending']} as pending; {truth} jobs were accepted over {VISIBLE_S} s ago and have not begun")
        time.sleep(1)
    return it.finish(findings)


deployment.main(run)
