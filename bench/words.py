"""What stand-ins answer, as a pure function of what they were asked: callers can work it out themselves."""

from __future__ import annotations

import hashlib
import re

SIZE = re.compile(r"#n=(\d+)")


def words(prompt: str) -> list[str]:
    """The pieces of the answer to a prompt. `#n=K` in it asks for K of them."""
    sum_ = hashlib.sha256(prompt.encode()).hexdigest()
    asked = SIZE.search(prompt)
    count = int(asked.group(1)) if asked else 4 + int(sum_[:2], 16) % 8
    return [f"{sum_[:6]}-{i} " for i in range(count)]


def tag_of(prompt: str) -> str:
    """Stand-in callers begin the own part, which is the last line, with a tag of their own."""
    return prompt.rsplit("\n", 1)[-1].split(" ", 1)[0]


def plain(path: str) -> bytes:
    """The body that a plain back end answers with for a path."""
    sum_ = hashlib.sha256(path.encode()).hexdigest()
    return (sum_ * (1 + int(sum_[:2], 16) % 24)).encode()
