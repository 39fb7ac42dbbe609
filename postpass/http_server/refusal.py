"""The response by which the server itself refuses a request."""

from __future__ import annotations

from http import HTTPStatus

RETRY_AFTER = 0.2  # seconds after which a client may repeat a request that was refused
RETRIED_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.SERVICE_UNAVAILABLE)


def refusal_response(status: int) -> bytes:
    """Returns an encoded response without a body, after which the server closes the connection."""
    retry_header = b"retry-after: %g\r\n" % RETRY_AFTER if status in RETRIED_STATUSES else b""
    phrase = HTTPStatus(status).phrase.encode()
    return b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\n%sconnection: close\r\n\r\n" % (status, phrase, retry_header)
