#!/usr/bin/env python3
"""Proxy in front of one executor: forwards each call. It can keep one start and carry it out late.

Usage: late_proxy.py TARGET_FILE ARM_FILE

TARGET_FILE holds the port of the executor's present life. Once ARM_FILE exists, the next start gets no answer. It is carried out at the executor's next
life, as soon as that accepts connections, between 2 s and 12 s after it was sent.
"""

import http.client
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LEAST_S = 2
MOST_S = 12
SILENCE_S = 20
TIMEOUT_S = 5


def read_target():
    try:
        with open(sys.argv[1], encoding="ascii") as file:
            return int(file.read())
    except (OSError, ValueError):
        return 0


def forward(port, method, path, headers, body):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def carry_out_late(former, path, headers, body):
    begun = time.monotonic()
    while time.monotonic() - begun < MOST_S:
        port = read_target()
        if port not in (0, former) and time.monotonic() - begun >= LEAST_S:
            try:
                status, answer = forward(port, "POST", path, headers, body)
                late = time.monotonic() - begun
                print("event=late_start after_s=%.2f status=%d answer=%s" % (late, status, answer.decode()), flush=True)
                return
            except OSError:
                pass
        time.sleep(0.002)
    print("event=late_start_dropped", flush=True)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    lock = threading.Lock()

    def log_message(self, *_):
        pass

    def take_arming(self):
        with self.lock:
            if not os.path.exists(sys.argv[2]):
                return False
            os.remove(sys.argv[2])
            return True

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        headers = {name: value for name, value in self.headers.items() if name.lower() not in ("content-length", "connection")}
        port = read_target()
        if self.path == "/run-start" and self.take_arming():
            print("event=start_unanswered body=%s" % body.decode(), flush=True)
            threading.Thread(target=carry_out_late, args=(port, self.path, headers, body), daemon=True).start()
            time.sleep(SILENCE_S)
            self.close_connection = True
            return
        try:
            status, answer = forward(port, "POST", self.path, headers, body)
        except OSError:
            self.close_connection = True
            return
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_):
        # A caller has closed its connection.
        pass


def main():
    server = Server(("127.0.0.1", 0), Handler)
    print("listening port=%d" % server.server_address[1], flush=True)
    server.serve_forever()


main()
