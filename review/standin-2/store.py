#!/usr/bin/env python3
"""Stand-in of the platform's store and machine list, for the scripts of the second review.

Usage: store.py VALUE_BYTES

Speaks what PROTOCOL.md says of the store and of GET /machines. A transaction with a larger value is refused with 400 and has no effect.
Beside the pages' calls: POST /standin/operator {key, value} writes what the operator writes; POST /standin/executor {id, entry, up} says
that an executor is up (its entry is then listed, as by its heartbeats), or has crashed (its machine is listed as down at once, its entry
goes after three heartbeat intervals).
"""

import base64
import bisect
import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_S = 1.5
HISTORY_S = 5.0
LEASE_CHECK_S = 0.02
MAX_ENTRIES = 32
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000


class Store:
    def __init__(self, value_bytes):
        self.value_bytes = value_bytes
        self.changed = threading.Condition()
        self.items = {}
        self.revision = 10
        # Rows of revision, time and event, and the revision below which the history is gone.
        self.history = []
        self.history_begin = self.revision
        self.leases = {}
        self.next_lease = 1
        self.executors = {}

    def _record(self, event):
        now = time.monotonic()
        self.history.append((self.revision, now, event))
        while self.history[0][1] < now - HISTORY_S:
            self.history_begin = self.history.pop(0)[0]
        self.changed.notify_all()

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self._record(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)

    def expire(self):
        with self.changed:
            now = time.monotonic()
            for lease in [it for it, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)
            for executor, state in self.executors.items():
                if not state["up"] and now > state["since"] + 3 * HEARTBEAT_S and "servers/" + executor in self.items:
                    self.revision += 1
                    self._remove("servers/" + executor)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, dict(item, as_of=self.revision)) if item else (404, None)

    def list(self, prefix, after):
        with self.changed:
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page, size = [], 0
            for key in keys:
                if len(page) == MAX_ITEMS or size > MAX_PAGE_BYTES:
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "more_pages": len(page) < len(keys), "as_of": self.revision}

    def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                if after < self.history_begin:
                    return 410, None
                first = bisect.bisect_right(self.history, after, key=lambda row: row[0])
                events = [event for _, _, event in self.history[first:] if event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.changed.wait(left)

    def transact(self, body):
        conditions, writes, removals = (body.get(name, []) for name in ("expected_rev", "writes", "remove"))
        keys = [it["key"] for it in writes] + removals
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        if len(conditions) + len(keys) > MAX_ENTRIES:
            return 400, None
        for write in writes:
            size = len(write["value"]) * 3 // 4 - write["value"][-2:].count("=")
            if size > self.value_bytes:
                print("event=refused value_bytes=%d" % size, flush=True)
                return 400, None
        with self.changed:
            current = [self.items.get(it["key"]) for it in conditions]
            if any((item["revision"] if item else 0) != it["revision"] for it, item in zip(conditions, current)):
                return 412, {"items": [item for item in current if item]}
            if any(it.get("lease", 0) and it["lease"] not in self.leases for it in writes):
                return 404, None
            self.revision += 1
            for it in writes:
                self._write(it["key"], it["value"], it.get("lease", 0))
            for key in removals:
                self._remove(key)
            return 200, {"revision": self.revision}

    def grant(self, ttl_ms):
        with self.changed:
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}

    def keep(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, None
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {}

    def end(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, None
            self._end_lease(lease)
            return 200, {}

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            self._write(key, base64.b64encode(value.encode()).decode(), 0)
        return 200, {}

    def set_executor(self, body):
        with self.changed:
            self.executors[body["id"]] = {"up": body["up"], "since": time.monotonic(), "zone": body.get("zone", "")}
        if body["up"]:
            self.put("servers/" + body["id"], json.dumps(body["entry"]))
        return 200, {}

    def machines(self):
        with self.changed:
            rows = [
                {"machine": "m-" + executor, "pool": "soak", "state": "up" if it["up"] else "down", "id": executor if it["up"] else ""}
                for executor, it in self.executors.items()
            ]
            return 200, {"machines": rows, "next_token": None}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    store = None

    def log_message(self, *_):
        pass

    def answer(self):
        url = urllib.parse.urlsplit(self.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        text = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        body = json.loads(text) if text else {}
        last = url.path.rsplit("/", 1)[1]
        match self.command, url.path:
            case "GET", "/kv-key":
                status, result = self.store.get(query["key"])
            case "GET", "/kv-range":
                status, result = self.store.list(query["prefix"], query.get("after", ""))
            case "GET", "/kv-watch":
                status, result = self.store.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
            case "POST", "/kv-txn":
                status, result = self.store.transact(body)
            case "POST", "/kv-lease":
                status, result = self.store.grant(body["ttl_ms"])
            case "GET", "/machines":
                status, result = self.store.machines()
            case "POST", "/standin/operator":
                status, result = self.store.put(body["key"], body["value"])
            case "POST", "/standin/executor":
                status, result = self.store.set_executor(body)
            case "POST", path if path.startswith("/kv-keep/"):
                status, result = self.store.keep(int(last))
            case "DELETE", path if path.startswith("/kv-lease-end/"):
                status, result = self.store.end(int(last))
            case _:
                status, result = 404, None
        content = b"" if result is None else json.dumps(result, separators=(",", ":")).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = answer


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        # A caller has closed its connection.
        pass


def main():
    Handler.store = Store(int(sys.argv[1]))
    server = Server(("127.0.0.1", 0), Handler)
    print("listening port=%d" % server.server_address[1], flush=True)

    def expire():
        while True:
            time.sleep(LEASE_CHECK_S)
            Handler.store.expire()

    threading.Thread(target=expire, daemon=True).start()
    server.serve_forever()


main()
