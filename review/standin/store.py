"""Stand-in for the platform's store and machine list, after PROTOCOL.md ("The platform's metadata store", "Service discovery", "Machines").

Executors announce themselves with the private call POST /standin/beat; they write "servers/ID" every heartbeat.
"""

import base64
import bisect
import json
import threading
import time
import urllib.parse

import web

PAGE_ITEMS = 500
FIRST_REVISION = 100


class Store:
    def __init__(self, port, heartbeat_s, record):
        self.lock = threading.Condition()
        self.revision = FIRST_REVISION
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.beats = {}
        self.heartbeat_s = heartbeat_s
        self.record = record
        # "up"; "busy": every call gets 503; "silent": no call is answered.
        self.mode = "up"
        # Called with each transaction; returns None, or seconds after which it is carried out without an answer.
        self.late_by = lambda writes: None
        self.server = web.Server(("127.0.0.1", port), self.answer).start()
        threading.Thread(target=self._housekeeping, daemon=True).start()

    # --- state, with the lock held ---

    def _change(self, key, item):
        if item is None:
            del self.items[key]
            self.history.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        else:
            self.items[key] = item
            self.history.append((self.revision, item))
        self.lock.notify_all()

    def _write(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.revision
        self._change(key, {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created, "lease": lease})

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._change(key, None)
        return True

    def _housekeeping(self):
        before = time.monotonic()
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                if self.mode != "up":
                    # Leases and entries pause while the store is down.
                    for lease in self.leases.values():
                        lease[1] += now - before
                    for beat in self.beats.values():
                        beat[0] += now - before
                before = now
                for lease in [it for it, (_, end) in self.leases.items() if end <= now]:
                    self._end_lease(lease)
                for name, beat in self.beats.items():
                    key = "servers/" + name
                    if key in self.items and now - beat[0] > 3 * self.heartbeat_s:
                        self.revision += 1
                        self._change(key, None)

    # --- the operator ---

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            self._write(key, json.dumps(value).encode())

    def set_mode(self, mode):
        with self.lock:
            self.mode = mode
            self.lock.notify_all()
        self.record(f"store mode={mode}")

    def set_machine_down(self, name):
        """The machine of an executor that has crashed is listed as down; its entry goes after three heartbeats."""
        with self.lock:
            self.beats[name][1] = False

    # --- calls ---

    def answer(self, method, path, _headers, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/machines":
            return 200, self._machines()
        with self.lock:
            if self.mode == "busy":
                return 503, None
            while self.mode == "silent":
                self.lock.wait()
                if self.mode == "up":
                    raise web.NoAnswer
        if url.path == "/standin/beat":
            return self._beat(json.loads(body))
        if url.path == "/kv-key":
            with self.lock:
                item = self.items.get(query["key"])
                return (200, dict(item, as_of=self.revision)) if item else (404, None)
        if url.path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if url.path == "/kv-watch":
            return self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if url.path == "/kv-txn":
            return self._transaction(json.loads(body))
        with self.lock:
            if url.path == "/kv-lease":
                ttl = json.loads(body)["ttl_ms"]
                self.last_lease += 1
                self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
                return 200, {"lease": self.last_lease, "ttl_ms": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if method == "DELETE":
                return (200 if self._end_lease(lease) else 404), {}
            if lease not in self.leases:
                return 404, None
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}

    def _range(self, prefix, after):
        with self.lock:
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return {"items": [self.items[key] for key in keys[:PAGE_ITEMS]], "more_pages": len(keys) > PAGE_ITEMS, "as_of": self.revision}

    def _watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                if self.mode == "busy":
                    return 503, None
                if self.mode == "silent":
                    self.lock.wait()
                    if self.mode == "up":
                        raise web.NoAnswer
                    continue
                first = bisect.bisect_right(self.history, after, key=lambda it: it[0])
                events = [event for _, event in self.history[first:] if event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.lock.wait(left)

    def _transaction(self, body):
        writes = body.get("writes", [])
        late_s = self.late_by([it["key"] for it in writes])
        if late_s is not None:
            def carry_out():
                time.sleep(late_s)
                status, _ = self._apply(body)
                self.record(f"store late_write status={status} keys={','.join(it['key'] for it in writes)}")
            threading.Thread(target=carry_out, daemon=True).start()
            # "A connection on which a response is lost returns nothing further."
            time.sleep(20)
            raise web.NoAnswer
        return self._apply(body)

    def _apply(self, body):
        with self.lock:
            conditions = body.get("expected_rev", [])
            writes = body.get("writes", [])
            removals = body.get("remove", [])
            if len(conditions) + len(writes) + len(removals) > 32:
                return 400, None
            if any(it["key"].startswith(("op/", "servers/")) for it in writes):
                return 403, None
            current = [self.items[it["key"]] for it in conditions if it["key"] in self.items]
            if any(self.items.get(it["key"], {"revision": 0})["revision"] != it["revision"] for it in conditions):
                return 412, {"items": current}
            if any(it.get("lease", 0) and it["lease"] not in self.leases for it in writes):
                return 404, None
            self.revision += 1
            for it in writes:
                self._write(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
            for key in removals:
                if key in self.items:
                    self._change(key, None)
            return 200, {"revision": self.revision}

    def _beat(self, body):
        value = json.dumps(body["entry"], sort_keys=True)
        with self.lock:
            key = "servers/" + body["id"]
            is_new = key not in self.items or self.beats[body["id"]][2] != value
            self.beats[body["id"]] = [time.monotonic(), True, value]
            if is_new:
                self.revision += 1
                self._write(key, value.encode())
        return 200, {}

    def _machines(self):
        with self.lock:
            rows = [{"machine": "m-" + name, "pool": "pool", "state": "up" if is_up else "down", "id": name if is_up else ""}
                for name, (_, is_up, _) in sorted(self.beats.items())]
        return {"machines": rows, "next_token": ""}
