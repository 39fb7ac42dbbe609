"""Headers as lists of byte pairs: reading them, and which are passed on between client and worker."""

from __future__ import annotations

from collections.abc import Sequence

from postpass.configuration.header_names import Dialect
from postpass.gateway.response_check import ResponseHeaderNames

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection alone.
CONNECTION_HEADERS = {
    b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection",
    b"proxy-authenticate", b"proxy-authorization", b"expect", b"content-length",
}  # fmt: skip
RESPONSE_CONNECTION_HEADERS = CONNECTION_HEADERS - {b"expect", b"content-length"}
AUTHORIZATION = b"authorization"
NUMBER_DIGITS = 15  # a longer number is taken for none


def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The first value of a header, by its name in lower case; None if there is none."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Sequence[tuple[bytes, bytes]], drop: set[bytes] | frozenset[bytes]) -> Headers:
    """Headers without those of `drop`, and without those that `connection` names as its own."""
    named = header(headers, b"connection")
    if named is not None:
        drop = drop | {n.strip().lower() for n in named.split(b",")}
    return [(n, v) for n, v in headers if n not in drop]


def parse_number(raw: bytes | None) -> int | None:
    """A header's value as a number; None if it is none."""
    return int(raw) if raw is not None and raw.isdigit() and len(raw) <= NUMBER_DIGITS else None


class HeaderNames:
    """The dialect's names of headers as bytes, and which headers of a client a worker doesn't see."""

    def __init__(self, dialect: Dialect) -> None:
        self.request_id = dialect.request_id.encode()
        self.deadline_ms = dialect.deadline_ms.encode()
        self.want_worker = dialect.want_worker.encode()
        self.want_version = dialect.want_version.encode()
        self.answers = ResponseHeaderNames.of(dialect)
        self.urgency = dialect.urgency.encode()
        self.prompt = dialect.prompt.encode()
        self.last_event = dialect.last_event.encode()
        self.tokens = dialect.tokens.encode()
        self.tenant = dialect.tenant.encode()
        own = CONNECTION_HEADERS | {self.deadline_ms, self.want_worker, self.tenant}
        self._dropped = {
            (False, False): frozenset(own),
            (False, True): frozenset(own | {AUTHORIZATION}),
            (True, False): frozenset(own | {self.urgency}),
            (True, True): frozenset(own | {self.urgency, AUTHORIZATION}),
        }

    def dropped(self, sets_urgency: bool, hides_key: bool) -> frozenset[bytes]:
        """Headers of a client that a worker doesn't see.

        `sets_urgency`: this edge tells the urgency itself; `hides_key`: keys of tenants stand in `Authorization`.
        """
        return self._dropped[sets_urgency, hides_key]
