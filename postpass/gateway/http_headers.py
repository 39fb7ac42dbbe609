"""HTTP headers as lists of byte pairs: reads them, and selects those passed on between client and worker."""

from __future__ import annotations

from collections.abc import Sequence

from postpass.configuration.header_names import Dialect
from postpass.gateway.response_check import ResponseHeaderNames

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection, and aren't passed on.
CONNECTION_HEADERS = {
    b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection",
    b"proxy-authenticate", b"proxy-authorization", b"expect", b"content-length",
}  # fmt: skip
RESPONSE_CONNECTION_HEADERS = CONNECTION_HEADERS - {b"expect", b"content-length"}
AUTHORIZATION = b"authorization"
NUMBER_DIGITS = 15  # a longer value isn't accepted as a number


def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header, by its name in lower case, or None if the header is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Sequence[tuple[bytes, bytes]], excluded: set[bytes] | frozenset[bytes]) -> Headers:
    """Returns the headers without those in `excluded`, and without those that the `connection` header lists."""
    connection_options = header(headers, b"connection")
    if connection_options is not None:
        excluded = excluded | {n.strip().lower() for n in connection_options.split(b",")}
    return [(n, v) for n, v in headers if n not in excluded]


def parse_number(raw: bytes | None) -> int | None:
    """Returns a header's value as a number, or None if it isn't one."""
    return int(raw) if raw is not None and raw.isdigit() and len(raw) <= NUMBER_DIGITS else None


class HeaderNames:
    """The names of the dialect's headers, as bytes, and the client headers that aren't passed on to workers."""

    def __init__(self, dialect: Dialect) -> None:
        self.request_id = dialect.request_id.encode()
        self.deadline_ms = dialect.deadline_ms.encode()
        self.want_worker = dialect.want_worker.encode()
        self.want_version = dialect.want_version.encode()
        self.response_names = ResponseHeaderNames.of(dialect)
        self.urgency = dialect.urgency.encode()
        self.prompt = dialect.prompt.encode()
        self.last_event = dialect.last_event.encode()
        self.tokens = dialect.tokens.encode()
        self.tenant = dialect.tenant.encode()
        dropped_always = CONNECTION_HEADERS | {self.deadline_ms, self.want_worker, self.tenant}
        self._dropped = {
            (False, False): frozenset(dropped_always),
            (False, True): frozenset(dropped_always | {AUTHORIZATION}),
            (True, False): frozenset(dropped_always | {self.urgency}),
            (True, True): frozenset(dropped_always | {self.urgency, AUTHORIZATION}),
        }

    def dropped(self, sets_urgency: bool, hides_key: bool) -> frozenset[bytes]:
        """Returns the names of the client's headers that aren't passed on to a worker.

        `sets_urgency`: this edge sets the urgency header itself; `hides_key`: `Authorization` contains a tenant's key.
        """
        return self._dropped[sets_urgency, hides_key]
