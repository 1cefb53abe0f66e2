#!/usr/bin/env python3
"""Helpers of the scripts of the second review.

tool.py ports N                                        prints N free ports of the loopback address
tool.py call METHOD HOST:PORT PATH [BODY]              sends one request and prints the status and the body; 000 without an answer
tool.py register STORE ID ADDRESS ZONE RACK CPU [FENCE]
                                                       tells the store that an executor is up, with the start time that the executor gives
                                                       to a call with this fence, which must not be below one that it has seen
"""

import http.client
import json
import socket
import sys
import time

TIMEOUT_S = 4


def call(method, address, path, body=None):
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    headers = {"Host": "q.example", "Kingcuploom-Deadline-Ms": "3000", "Content-Type": "application/json"}
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except OSError:
        return 0, ""
    finally:
        connection.close()


def register(store, executor, address, zone, rack, cpu, fence="0"):
    for _ in range(100):
        status, body = call("POST", address, "/hold", '{"fence":%s,"ack_cursor":0}' % fence)
        if status == 200:
            break
        time.sleep(0.03)
    entry = {
        "service": "soak",
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": int(cpu), "mem_mb": 64000, "gpu": 0},
        "labels": ["a", rack],
        "born": json.loads(body)["born"],
    }
    call("POST", store, "/standin/executor", json.dumps({"id": executor, "zone": zone, "up": True, "entry": entry}))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    print(*(it.getsockname()[1] for it in sockets), sep="\n")


def main():
    verb, *words = sys.argv[1:]
    if verb == "ports":
        free_ports(int(words[0]))
    elif verb == "register":
        register(*words)
    else:
        status, body = call(*words)
        print("%03d %s" % (status, body))


main()
