"""Options of TCP sockets."""

from __future__ import annotations

import socket


def configure_socket(sock: socket.socket, silence_timeout: float) -> None:
    """Sets the socket's options so that a dead or unreachable peer is noticed after about `silence_timeout` seconds,
    also while nothing is written."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    probe_interval = max(1, round(silence_timeout / 3))
    for name, value in (
        ("TCP_USER_TIMEOUT", int(silence_timeout * 1000)),
        ("TCP_KEEPIDLE", probe_interval),
        ("TCP_KEEPINTVL", probe_interval),
        ("TCP_KEEPCNT", 2),
    ):
        if hasattr(socket, name):
            try:
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
            except OSError:
                pass
