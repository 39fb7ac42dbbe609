"""JSON bodies of requests to an edge: their fields, and the functions that read and validate them."""

from __future__ import annotations

import re
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse

from postpass.configuration.json_documents import parse_json
from postpass.configuration.schema import validation_errors
from postpass.gateway.http_errors import fault_response
from postpass.runtime.errors import Fault

IDENTIFIER = re.compile(r"[A-Za-z0-9._\-]{1,80}")  # ids of jobs and keys of live requests
IDENTIFIER_RULE = "want 1 to 80 of A-Z a-z 0-9 . _ -"
CLIENT_HEADER = "x-caller"
MAX_CLIENT_CHARACTERS = 80  # the longest name of a client; the rest of it is ignored


class LiveRequestBody(TypedDict):
    """Body of a live request. It also has a field `class`, which is added below, since `class` is a keyword of Python."""

    own: str  # the part of the prompt that belongs to this request only
    shared: NotRequired[list[str]]  # parts of the prompt that it shares with other requests
    once: NotRequired[bool]  # the request must not run more than once
    key: NotRequired[str]  # identifies the request at all edges, so that it is accepted only once
    deadline: NotRequired[float]  # seconds
    most: NotRequired[int]  # the most tokens of the response


LiveRequestBody.__annotations__["class"] = "str"


class JobRequestBody(TypedDict):
    """Body of a new job. It also has a field `class`, which is added below, since `class` is a keyword of Python."""

    items: list[str]
    id: NotRequired[str]
    shared: NotRequired[list[str]]
    due: NotRequired[float]  # seconds since the epoch
    within: NotRequired[float]  # seconds from now; alternative to `due`


JobRequestBody.__annotations__["class"] = "str"


def client_name_of(request: Request) -> str:
    """Returns the name that a client gives itself; empty if it gives none."""
    return request.headers.get(CLIENT_HEADER, "")[:MAX_CLIENT_CHARACTERS]


async def read_json(request: Request, schema: Any, max_bytes: int, edge: str) -> Result[Any, JSONResponse]:
    """Reads a JSON body, validates it against a TypedDict, and returns it, or the error response for the client.

    `edge`: this edge's name, for faults. Raises starlette's ClientDisconnect if the client disconnects before the end.
    """
    data = b""
    async for chunk in request.stream():
        data += chunk
        if len(data) > max_bytes:
            return Err(fault_response(Fault("read body", edge, f"(top): at most {max_bytes} bytes"), 413))
    parsed = parse_json(data)
    if isinstance(parsed, Err):
        return Err(fault_response(Fault("read body", edge, parsed.unwrap_err()), 400))
    document = parsed.unwrap()
    errors = validation_errors(schema, document)
    if errors:
        return Err(fault_response(Fault("read body", edge, errors[0]), 400, flaws=errors))
    return Ok(document)
