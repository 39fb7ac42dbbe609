"""The header `If-Match` of an operator's request: the version that the request is based on."""

from __future__ import annotations

import re

# More digits than any version has; Python itself refuses to read numbers of some thousands of digits.
_VERSION = re.compile(r"-?[0-9]{1,4000}")


def version_in(header: str) -> int | None:
    """Returns the version in an entity tag, with or without quotes; None if it is no whole number."""
    text = header.strip().strip('"')
    return int(text) if _VERSION.fullmatch(text) else None
