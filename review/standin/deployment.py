"""A small deployment on loopback addresses: the daemons of deploy/system.toml, a stand-in store and stand-in executors, each executor and
daemon a process of its own. Ends all of them, and writes record.txt."""

import atexit
import http.client
import json
import os
import pathlib
import re
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import store as store_standin

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "queue.example"
HEARTBEAT_MS = 1100
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "evacuate_ms": 5000, "recover_s": 12,
    "hold_max_ms": 10000, "stop_ms": 400, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_factor": 2, "checkpoint_interval_s": 1, "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
    "fencing_enforced": "false", "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000}


class CannotRun(Exception):
    pass


def free_port(taken=set()):
    """A port below those that outgoing connections get, so that none takes it before it is listened on."""
    while True:
        port = 12_000 + secrets.randbelow(18_000)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    def __init__(self, case_folder, zones=("a", "b", "c"), executors=3, cpu_millis=16000, kinds=None):
        self.record_path = pathlib.Path(case_folder) / "record.txt"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kingcuploom-review-"))
        self.lines = []
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.processes = {}
        atexit.register(self.end)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        command = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["scheduler"]["run"]
        self.command = shlex.split(command)
        if not (REPOSITORY / self.command[0]).exists():
            raise CannotRun("the deploy file has not been built")
        self.store_port = free_port()
        self.store = store_standin.Store(self.store_port, HEARTBEAT_MS / 1000, self.record)
        self.daemons = {f"edge-{zone}-1": {"zone": zone, "front": free_port(), "ready": free_port(), "link": free_port()} for zone in zones}
        self.executors = {f"x{n:02d}{secrets.token_hex(4)}": {"zone": zones[n % len(zones)], "rack": f"r{n % len(zones)}-{n // len(zones)}",
            "kind": kinds[n] if kinds else "a", "port": free_port(), "cpu": cpu_millis, "starts": 0} for n in range(executors)}
        self.versions = 0

    def record(self, text):
        with self.lock:
            self.lines.append((time.monotonic(), text))

    # --- processes ---

    def start_daemon(self, name):
        it = self.daemons[name]
        front, ready = f"127.0.0.1:{it['front']}", f"127.0.0.1:{it['ready']}"
        fields = {"node": name, "role": "scheduler", "machine_class": "edge", "serves": "edge", "ip": "127.0.0.1", "zone": it["zone"],
            "region": "r", "listen.front": front, "listen.ready": ready, "port_range": f"{it['link']},{it['link']}", "bootstrap": "true",
            "counts_as_loss": "false", "limits.cpu_share": 0.25, "limits.cores": 1, "limits.memory_mb": 260, "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0, "limits.disk_mb": 0, "discovery": "platform", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS,
            "control_mode": "call", "platform.address": f"127.0.0.1:{self.store_port}", "platform.form": "kv", "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000, "platform.history_s": 20, "platform.value_bytes": 1048576, "platform.ttl_min_ms": 1000,
            "cloud_api.address": f"127.0.0.1:{self.store_port}", "cloud_api.rate_per_s": 60.0, "cloud_api.duties": "",
            "cloud_api.duty_per_s": 60.0}
        fields.update({"zones." + daemon["zone"]: "r" for daemon in self.daemons.values()})
        fields.update({"bounds." + bound: value for bound, value in BOUNDS.items()})
        path = self.folder / (name + ".conf")
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        log = open(self.folder / (name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(self.command, cwd=REPOSITORY, stdout=log, stderr=log,
            env=dict(environment, KINGCUPLOOM_NODE_FILE=str(path)))
        self.record(f"daemon start {name}")

    def start_executor(self, name):
        it = self.executors[name]
        it["starts"] += 1
        out = open(self.folder / f"{name}-{it['starts']:03d}.events", "wb")
        script = pathlib.Path(__file__).with_name("executor.py")
        self.processes[name] = subprocess.Popen([sys.executable, "-B", str(script), name, str(it["port"]), f"127.0.0.1:{self.store_port}",
            it["zone"], it["rack"], it["kind"], str(it["cpu"]), str(HEARTBEAT_MS)], stdout=out, stderr=subprocess.STDOUT)
        self.record(f"executor start {name}")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()
        self.record(f"kill {name}")
        if name in self.executors:
            self.store.set_machine_down(name)

    def start(self, routes):
        self.configure(routes)
        for name in self.executors:
            self.start_executor(name)
        for name in self.daemons:
            self.start_daemon(name)
        for daemon in self.daemons.values():
            self.wait(lambda at=daemon["ready"]: call(at, "GET", "/ready")[0] == 200, 20, "a daemon did not become ready")
        first = next(iter(self.daemons))
        self.wait(lambda: all("servers/" + name in self.store.items for name in self.executors), 10, "an executor did not register")
        self.wait(lambda: self.leader() is not None, 15, f"no leader; see the log of {first}")
        time.sleep(2)

    def wait(self, is_true, seconds, message):
        end = time.monotonic() + seconds
        while not is_true():
            if time.monotonic() > end:
                raise CannotRun(message)
            time.sleep(0.05)

    # --- the operator ---

    def configure(self, routes):
        self.versions += 1
        rows = [dict({"name": "r", "host": HOST, "prefix": "/q/", "route_type": "unsafe", "timeout_ms": 3000, "service": "pool", "priority": 0,
            "max_attempts": 3, "stretch": 2.0, "target_duration_ms": 2500}, **route) for route in routes]
        self.store.put("op/config", {"version": self.versions, "routes": rows, "services": [{"name": "pool", "admission_check": True}], "limits": {}})

    def leader(self):
        """The daemon that wrote the term; read as an operator reads the store."""
        with self.store.lock:
            item = self.store.items.get("kc/lead/node")
        if not item:
            return None
        import base64
        value = base64.b64decode(item["value"])
        return next((name for name in self.daemons if name.encode() in value), None)

    # --- clients ---

    def call(self, daemon, method, path, body=None, timeout=3.0):
        status, answer = call(self.daemons[daemon]["front"], method, path, body, timeout)
        self.record(f"client {method} {path} at {daemon}: {status} {json.dumps(answer)}")
        return status, answer

    def submit(self, job, phases, spec, prefix="/q/"):
        """Hands a job in, and again after no answer, as clients do. Returns whether it was accepted."""
        names = list(self.daemons)
        for attempt in range(4):
            status, _ = self.call(names[attempt % len(names)], "POST", prefix + job, {"spec": spec, "phases": phases})
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    # --- results ---

    def events(self):
        """Events of the executors, in the order of time."""
        rows = []
        for path in sorted(self.folder.glob("*.events")):
            for line in path.read_text(errors="replace").splitlines():
                if line.startswith("at="):
                    row = dict(word.split("=", 1) for word in line.split())
                    row["at"] = float(row["at"])
                    row["run"] = int(row["run"])
                    row["life"] = path.stem
                    rows.append(row)
        return sorted(rows, key=lambda it: it["at"])

    def finish(self, findings):
        """Writes record.txt, ends all processes and returns the exit code."""
        findings = [task_name(text) for text in findings]
        ended = [name for name in self.daemons if self.processes[name].poll() is not None]
        for row in self.events():
            with self.lock:
                self.lines.append((row["at"], f"executor {row['executor']} {row['event']} {row['task']}/{row['run']} {row['how']}".rstrip()))
        self.end()
        with open(self.record_path, "w", encoding="utf-8") as out:
            out.write(f"TROUBLE={int(is_troubled())}\n")
            for at, text in sorted(self.lines, key=lambda it: it[0]):
                out.write(f"{at - self.begin:9.3f} {task_name(text)}\n")
            for text in findings:
                out.write(f"BROKEN {text}\n")
            out.write(f"findings={len(findings)} daemons_ended_by_themselves={len(ended)}\n")
        for text in findings[:5]:
            print("BROKEN", text)
        print(f"findings={len(findings)}")
        return 1 if findings else 0

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(port, method, path, body=None, timeout=3.0):
    """Returns the status and the decoded body; status 0 without an answer."""
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        headers = {"Host": HOST, "Content-Type": "application/json", "Kingcuploom-Deadline-Ms": str(int(timeout * 1000))}
        connection.request(method, path, json.dumps(body) if body is not None else None, headers)
        answer = connection.getresponse()
        text = answer.read()
        connection.close()
        return answer.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None


def task_name(text):
    """Writes ID.K.STEP.INDEX as ID:K:STEP:INDEX, as an ID that ends in digits would make it look like an address."""
    return re.sub(r"\b([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)", r"\1:\2:\3:\4", text)


def job_id():
    return secrets.token_hex(8)


def main(run):
    try:
        sys.exit(run())
    except CannotRun as error:
        print("cannot run:", error)
        sys.exit(2)
