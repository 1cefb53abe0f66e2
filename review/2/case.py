"""The leader is killed while many short tasks end on one executor."""

import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import deployment

JOBS = 24
TASKS_PER_JOB = 50
# Pause before a killed daemon starts again.
DOWN_S = 3.5


def find_broken(events):
    """TWICE: two runs of a task at the same time, or a start after an end `done` that is taken note of then or later."""
    findings = []
    runs = collections.defaultdict(dict)
    for row in events:
        key = (row["executor"], row["life"], row["run"])
        run = runs[row["task"]].setdefault(key, {})
        run.setdefault(row["event"], row["at"])
        if row["event"] == "end":
            run["how"] = row["how"]
    for task, by_key in runs.items():
        for key, run in by_key.items():
            for other_key, other in by_key.items():
                if other_key == key or "start" not in other or "start" not in run:
                    continue
                if run.get("how") == "done" and "noted" in run and other["start"] > run["end"]:
                    findings.append(f"TWICE {task}: run {key[2]} on {key[0]} ended done and was taken note of; run {other_key[2]} began on "
                        f"{other_key[0]} {other['start'] - run['end']:.3f} s after that end")
                elif run["start"] < other["start"] < run.get("end", float("inf")):
                    findings.append(f"TWICE {task}: runs {key[2]} and {other_key[2]} at the same time")
    return findings


def run():
    it = deployment.Deployment(pathlib.Path(__file__).parent, executors=3, cpu_millis=16000, kinds=["b", "a", "a"])
    it.start([{}])
    phases = [{"count": TASKS_PER_JOB, "cpu": 10, "mem_mb": 20, "est_runtime_ms": 6000, "required_label": "b"}]
    jobs = [deployment.job_id() for _ in range(JOBS)]
    begin = time.monotonic()
    for job in jobs:
        if not it.submit(job, phases, "cpu=10 mem=20 work_ms=5000-9000"):
            raise deployment.CannotRun("a job was not accepted")
    time.sleep(max(0, begin + 5.5 - time.monotonic()))
    leader = it.leader()
    if deployment.is_troubled():
        it.kill(leader)
    time.sleep(DOWN_S)
    if deployment.is_troubled():
        it.start_daemon(leader)
    time.sleep(25)
    names = list(it.daemons)
    states = [it.call(names[n % len(names)], "GET", "/q/" + job)[1] for n, job in enumerate(jobs)]
    it.record(f"states {collections.Counter(str(state) for state in states)}")
    if not deployment.is_troubled() and any(state != {"state": "completed"} for state in states):
        raise deployment.CannotRun("the jobs did not complete without the disruption")
    return it.finish(find_broken(it.events()))


deployment.main(run)
