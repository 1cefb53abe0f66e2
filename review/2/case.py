"""One executor crashes now and then; a job whose tasks last runs there."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import deployment

CRASHES = 6
DOWN_S = 4.0
UP_S = 9.0


def run():
    it = deployment.Deployment(pathlib.Path(__file__).parent, executors=8, cpu_millis=16000, kinds=["b"] + ["a"] * 7)
    it.start([{}])
    labelled = next(iter(it.executors))
    job = deployment.job_id()
    phases = [{"count": 2, "cpu": 3200, "mem_mb": 6400, "est_runtime_ms": 500, "required_label": "b", "long_running": True}]
    if not it.submit(job, phases, "cpu=3200 mem=6400 stands=1"):
        raise deployment.CannotRun("the job was not accepted")
    findings = []
    daemon = list(it.daemons)[0]
    time.sleep(4)
    for _ in range(CRASHES):
        if deployment.is_troubled():
            it.kill(labelled)
            time.sleep(DOWN_S)
            it.start_executor(labelled)
        else:
            time.sleep(DOWN_S)
        time.sleep(UP_S)
        status, answer = it.call(daemon, "GET", "/q/" + job)
        failed = [row for row in it.events() if row["event"] == "end" and row["how"] == "failed"]
        if status == 200 and answer == {"state": "failed"} and not failed:
            findings.append(f"LOST {job}: shown as failed; no run of it has ended `failed`, and nobody has cancelled it")
            break
    return it.finish(findings)


deployment.main(run)
