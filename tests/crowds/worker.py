"""A stand-in for a worker, which announces itself to control and answers every request at once."""

from __future__ import annotations

import sys
import threading
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from tests.crowds.clients import call_as_json

HEARTBEAT_S = 0.6
NAME = "i-crowd"


class Handler(BaseHTTPRequestHandler):
    """Answers health checks, and any other request as a proper worker does."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        self._answer(b"", ("Postpass-Worker", NAME))

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        request_id = self.headers.get("Postpass-Attempt-Id", "")
        self._answer(b"x" * 800, ("Postpass-Attempt-Id", request_id), ("Postpass-Seal", f"1.{request_id}"))

    def _answer(self, body: bytes, *headers: tuple[str, str]) -> None:
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Logs nothing."""


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Prints nothing of a connection that its client has reset, which is no error of the worker."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


@dataclass(eq=False)
class Worker:
    """The worker. It serves from `start` until `stop`."""

    address: str
    control: list[str]
    stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.server = Server((host, int(port)), Handler)
        self.threads = [
            threading.Thread(target=target, daemon=True) for target in (self.server.serve_forever, self._announce)
        ]
        for thread in self.threads:
            thread.start()

    def _announce(self) -> None:
        sequence = 0
        while not self.stopped.wait(HEARTBEAT_S):
            for address in self.control:
                sequence += 1
                heartbeat = {
                    "service": "app", "addr": self.address, "zone": "zone-a", "version": "v1", "slots": 64,
                    "state": "up", "warmLeftMs": 0, "seqno": sequence,
                }  # fmt: skip
                if call_as_json(address, "PUT", f"/-/workers/{NAME}", heartbeat).status == 200:
                    break

    def stop(self) -> None:
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
