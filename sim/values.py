"""Parses values as they are written in scenarios and in changes of the configuration."""

from __future__ import annotations

from typing import Any


def parse_value(text: str) -> Any:
    """Returns the boolean, None, list in brackets or number that a text denotes, or else the text with `~` as a space."""
    if text in ("true", "false"):
        return text == "true"
    if text in ("none", "null"):
        return None
    if text.startswith("["):
        return [parse_value(part.strip()) for part in text[1:-1].split(",") if part.strip()]
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text.replace("~", " ")
