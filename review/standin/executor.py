"""Stand-in for an executor, after PROTOCOL.md ("Running tasks"): one process, one incarnation.

Usage: executor.py ID PORT STORE_ADDRESS ZONE RACK KIND CPU_MILLIS HEARTBEAT_MS

A job's spec tells what its tasks do: "cpu=N mem=N work_ms=LEAST-MOST" (the time of a task depends on its name), "stands=1" for tasks that last,
"crash_ms=N" for tasks that crash the executor N ms after their start.
Writes one line for each event to its standard output; times are those of the machine's steady clock.
"""

import http.client
import json
import os
import sys
import threading
import time
import zlib

import web

MAX_LEASE_MS = 10_000
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500
MEMORY_MB = 64_000
STARTUP_S = 0.1


def parse_spec(text):
    fields = dict(word.split("=", 1) for word in text.split())
    least, _, most = fields.get("work_ms", "100").partition("-")
    return {"cpu": int(fields.get("cpu", 0)), "mem": int(fields.get("mem", 0)), "least_ms": int(least), "most_ms": int(most or least),
        "stands": fields.get("stands") == "1", "crash_s": int(fields.get("crash_ms", 0)) / 1000}


class Executor:
    def __init__(self, name, cpu):
        self.name = name
        self.cpu = cpu
        self.lock = threading.Condition()
        self.begin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until_ms = 0
        self.running = {}
        self.highest_ended = {}
        self.ends = []
        self.end_count = 0
        # The next start gets no answer and is carried out after this time.
        self.late_start_s = 0
        self.has_beaten = threading.Event()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.begin) * 1000)

    def event(self, name, task, run, how=""):
        sys.stdout.write(f"at={time.monotonic():.4f} executor={self.name} event={name} task={task} run={run} how={how}\n")

    # --- with the lock held ---

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, ""])
        self.event("end", task, run["run"], how)
        self.lock.notify_all()

    def _advance(self):
        now = time.monotonic()
        for task, run in self.running.items():
            if run["spec"]["crash_s"] and run["at"] + run["spec"]["crash_s"] <= now:
                self.event("crash", task, run["run"])
                sys.stdout.flush()
                os._exit(86)
        for task in [it for it, run in self.running.items() if run["until"] is not None and run["until"] <= now]:
            self._end(task, "done")
        if self.running and self.lease_until_ms <= self.clock_ms():
            for task in list(self.running):
                self._end(task, "lapsed")

    def _extend(self, until_ms):
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, self.clock_ms() + MAX_LEASE_MS))

    # --- calls ---

    def tick(self):
        while True:
            with self.lock:
                self._advance()
            sys.stdout.flush()
            time.sleep(0.01)

    def answer(self, _method, path, headers, body):
        expected = headers.get("Kingcuploom-Expect-Instance")
        if expected and expected != self.name:
            return 421, None
        call = json.loads(body)
        if path == "/standin/trouble":
            return 200, self._set_trouble(call)
        if path == "/run-start" and self.late_start_s:
            late_s, self.late_start_s = self.late_start_s, 0
            threading.Timer(late_s, self._carry_out_late, [call]).start()
            self.event("start_unanswered", call["task"], call["run"])
            time.sleep(20)
            raise web.NoAnswer
        return self._carry_out(path, call)

    def _carry_out_late(self, call):
        status, answer = self._carry_out("/run-start", call)
        self.event("late_start", call["task"], call["run"], answer.get("reason", status))

    def _set_trouble(self, call):
        """Takes effect right after the next heartbeat, if "after_beat" is set."""
        if call.get("after_beat"):
            self.has_beaten.clear()
            self.has_beaten.wait(5)
        self.cpu = call.get("cpu", self.cpu)
        self.late_start_s = call.get("late_start_s", 0)
        self.event("capacity", "-", 0, str(self.cpu))
        return {}

    def _carry_out(self, path, call):
        with self.lock:
            self._advance()
            reason = "fence" if call.get("fence", 0) < self.fence else ""
            self.fence = max(self.fence, call.get("fence", 0))
            if not reason:
                if path == "/hold":
                    return 200, self._hold(call)
                reason = {"/run-start": self._start, "/run-stop": self._stop, "/pace": lambda _: ""}[path](call)
            if reason and path == "/run-start":
                self.event("refused", call["task"], call["run"], reason)
            if reason:
                return 409, {"clock_ms": self.clock_ms(), "reason": reason}
            return 200, {"clock_ms": self.clock_ms()}

    def _start(self, call):
        task, run, now_ms = call["task"], call["run"], self.clock_ms()
        if call["deadline_ms"] <= now_ms:
            return "late"
        self._extend(call["deadline_ms"])
        if task in self.running:
            return "" if self.running[task]["run"] == run else "old"
        if run <= self.highest_ended.get(task, 0):
            return "old"
        spec = parse_spec(call["spec"])
        used_cpu = sum(it["spec"]["cpu"] for it in self.running.values())
        used_mem = sum(it["spec"]["mem"] for it in self.running.values())
        if used_cpu + spec["cpu"] > self.cpu or used_mem + spec["mem"] > MEMORY_MB:
            return "room"
        now = time.monotonic()
        share = zlib.crc32(task.encode()) % 10_000 / 10_000
        work_s = (spec["least_ms"] + share * (spec["most_ms"] - spec["least_ms"])) / 1000
        self.running[task] = {"run": run, "spec": spec, "at": now, "until": None if spec["stands"] else now + work_s,
            "work_s": STARTUP_S if spec["stands"] else work_s}
        self.event("start", task, run)
        return ""

    def _stop(self, call):
        task, run = call["task"], call["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self._end(task, "stopped")
        return ""

    def _hold(self, call):
        if "deadline_ms" in call:
            self._extend(call["deadline_ms"])
        while self.ends and self.ends[0][0] <= call["ack_cursor"]:
            _, task, run, how, _ = self.ends.pop(0)
            self.event("noted", task, run, how)
        until = time.monotonic() + min(call.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        while not self.ends and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = time.monotonic()
        running = [[task, it["run"], "", min(100, int((now - it["at"]) * 100 / max(it["work_s"], 0.001))), it["spec"]["cpu"]]
            for task, it in self.running.items()]
        return {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:MAX_LISTED_ENDS]}


def beat(executor, store, port, zone, rack, kind, heartbeat_s):
    entry = lambda: {"service": "pool", "address": f"127.0.0.1:{port}", "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "capacity": {"cpu": executor.cpu, "mem_mb": MEMORY_MB, "gpu": 0}, "labels": [kind, rack], "born": executor.born}
    while True:
        try:
            connection = http.client.HTTPConnection(store, timeout=2)
            connection.request("POST", "/standin/beat", json.dumps({"id": executor.name, "entry": entry()}))
            connection.getresponse().read()
            connection.close()
            executor.has_beaten.set()
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(heartbeat_s)


def main():
    name, port, store, zone, rack, kind, cpu, heartbeat_ms = sys.argv[1:]
    executor = Executor(name, int(cpu))
    web.Server(("127.0.0.1", int(port)), executor.answer).start()
    threading.Thread(target=beat, args=(executor, store, int(port), zone, rack, kind, int(heartbeat_ms) / 1000), daemon=True).start()
    executor.tick()


if __name__ == "__main__":
    main()
