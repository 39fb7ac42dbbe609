"""A small valid configuration for tests."""

from __future__ import annotations

from postpass.configuration.configuration import Configuration, Machine


def small_configuration() -> Configuration:
    """A whole configuration: four stores in as many zones, a class of each kind and two pools."""
    zones = ["a", "b", "c", "d"]
    machines: dict[str, Machine] = {
        f"s{i}": {"area": zones[i - 1], "peer": f"127.{i}.0.1:7000", "http": f"127.{i}.0.1:8000", "duties": ["store"]}
        for i in range(1, 5)
    }
    return {
        "name": "small", "areas": zones, "machines": machines, "parts": 4, "copies": 4, "ways": {"/view": "view"},
        "classes": {
            "ask": {"kind": "live", "pool": "gpu", "share": 0.75, "lends": True},
            "lot": {"kind": "batch", "pool": "gpu", "share": 0.25, "borrows": ["ask"]},
            "view": {"kind": "plain", "pool": "app", "share": 1},
        },
        "pools": {
            "gpu": {"kind": "model", "servers": {"w1": {"url": "http://127.1.1.1:9000", "area": "a", "slots": 4}}},
            "app": {"kind": "plain", "servers": {"p1": {"url": "http://127.1.1.2:9000", "area": "a", "slots": 4}}},
        },
    }  # fmt: skip
