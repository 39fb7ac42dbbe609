"""Imports an nginx configuration, as far as plain ways go: crossplane reads it, this carries it over."""

from __future__ import annotations

from typing import Any

import crossplane
from result import Err, Ok, Result

from postpass.configuration.settings import address_errors

Parts = dict[str, Any]


def carry_over(path: str) -> Result[tuple[Parts, list[str]], list[str]]:
    """Pools from upstreams, a plain class for each, ways from locations; and a line for whatever was left."""
    got = crossplane.parse(path)
    if got["status"] != "ok":
        return Err([f"{e.get('file', path)}:{e.get('line') or '?'}: {e['error']}" for e in got["errors"]])
    pools: Parts = {}
    ways: Parts = {}
    left: list[str] = []

    def skip(file: str, block: Parts, why: str) -> None:
        left.append(
            f"{file}:{block['line']}: {block['directive']} {' '.join(block['args'])}: {why}".replace(" : ", ": ")
        )

    def upstream(file: str, block: Parts) -> None:
        servers: Parts = {}
        for b in block.get("block", []):
            addr = b["args"][0] if b["args"] else ""
            if b["directive"] != "server":
                skip(file, b, "placing is postpass's own")
                continue
            addr = addr if ":" in addr else f"{addr}:80"
            if address_errors("", addr):
                skip(file, b, "servers are named by IP number and port")
                continue
            extra = [a for a in b["args"][1:] if a != "down"]
            if extra:
                skip(file, {**b, "args": extra}, "not carried over")
            servers[f"{block['args'][0]}-{len(servers) + 1}"] = {
                "url": f"http://{addr}", "area": "", "slots": 16, **({"leave": True} if "down" in b["args"] else {}),
            }  # fmt: skip
        pools[block["args"][0]] = {"kind": "plain", "servers": servers}

    def location(file: str, block: Parts) -> None:
        inner = block.get("block", [])
        passed = [b for b in inner if b["directive"] == "proxy_pass"]
        for b in inner:
            if b["directive"] != "proxy_pass":
                skip(file, b, "not carried over")
        if len(block["args"]) != 1 or not block["args"][0].startswith("/"):
            skip(file, {**block, "args": block["args"]}, "only prefix locations become ways")
        elif not passed:
            skip(file, block, "has no proxy_pass")
        else:
            goal = passed[0]["args"][0]
            name = goal.removeprefix("http://").split("/", 1)[0]
            if not goal.startswith("http://"):
                skip(file, passed[0], "only http back ends")
            elif "/" in goal.removeprefix("http://"):
                skip(file, passed[0], "a way passes the path on unchanged")
            else:
                ways[block["args"][0]] = name

    def walk(file: str, blocks: list[Parts]) -> None:
        for b in blocks:
            if b["directive"] in ("http", "server"):
                walk(file, b.get("block", []))
            elif b["directive"] == "upstream":
                upstream(file, b)
            elif b["directive"] == "location":
                location(file, b)
            elif b["directive"] not in ("events", "include", "#"):
                skip(file, b, "not carried over")

    for settings in got["config"]:
        walk(settings["file"], settings["parsed"])
    for way, name in list(ways.items()):
        if name in pools:
            continue
        addr = name if ":" in name else f"{name}:80"
        if address_errors("", addr):
            left.append(f"{path}: way {way}: no upstream {name}")
            del ways[way]
        else:
            pools[name] = {
                "kind": "plain",
                "servers": {f"{name}-1": {"url": f"http://{addr}", "area": "", "slots": 16}},
            }
    classes = {n: {"kind": "plain", "pool": n, "share": 1} for n in pools}
    left += [f"pools.{n}.servers.{s}.area: fill in where it stands" for n, p in pools.items() for s in p["servers"]]
    return Ok(({"pools": pools, "classes": classes, "ways": ways}, left))
