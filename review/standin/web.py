"""HTTP/1.1 server for the stand-ins: one thread for each connection, JSON bodies."""

import http.server
import json
import socket
import socketserver
import threading


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


class _RequestHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 1 << 16
    timeout = 90

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _handle(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        try:
            status, answer = self.server.answer(self.command, self.path, self.headers, body)
        except NoAnswer:
            self.close_connection = True
            return
        data = b"" if answer is None else json.dumps(answer, separators=(",", ":")).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _handle

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def finish(self):
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *_):
        pass


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, address, answer):
        super().__init__(address, _RequestHandler)
        self.answer = answer

    def start(self):
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
        return self

    def handle_error(self, *_):
        pass
