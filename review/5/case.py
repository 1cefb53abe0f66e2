"""An executor is lost while jobs are placed on it; then the leader is killed."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import deployment

JOBS = 8
VISIBLE_S = 3.0 + 2.0
DOWN_S = 3.5


def run():
    it = deployment.Deployment(pathlib.Path(__file__).parent, executors=8, cpu_millis=16000, kinds=["b"] + ["a"] * 7)
    it.start([{}])
    labelled = next(iter(it.executors))
    leader = it.leader()
    others = [name for name in it.daemons if name != leader]
    if deployment.is_troubled():
        # Without power: silent from now on, and lost for good.
        it.processes[labelled].send_signal(signal.SIGSTOP)
        it.store.set_machine_down(labelled)
        it.record(f"executor {labelled} is dark")
    phases = [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 1000, "required_label": "b"}]
    accepted = []

    def hand_in():
        job = deployment.job_id()
        if it.submit(job, phases, "cpu=1000 mem=100 work_ms=1000"):
            accepted.append(time.monotonic())

    threads = [threading.Thread(target=hand_in) for _ in range(JOBS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(accepted) != JOBS:
        raise deployment.CannotRun("a job was not accepted")
    time.sleep(6)
    it.call(others[0], "GET", "/q/")
    if deployment.is_troubled():
        it.kill(labelled)
        it.kill(leader)
        time.sleep(DOWN_S)
        it.start_daemon(leader)
    # The other machines are in touch all the while; the new leader has had more than ten seconds.
    time.sleep(max(0, max(accepted) + VISIBLE_S + 15 - time.monotonic()))
    findings = []
    waiting = JOBS - len({row["task"] for row in it.events() if row["event"] == "start"})
    for _ in range(8):
        for daemon in others:
            status, answer = it.call(daemon, "GET", "/q/")
            if status == 200 and answer["pending"] * 2 < waiting:
                findings.append(f"MIXED {daemon} gives {answer['pending']} as pending; {waiting} jobs were accepted over {VISIBLE_S} s ago and have not begun")
        time.sleep(1)
    return it.finish(findings)


deployment.main(run)
