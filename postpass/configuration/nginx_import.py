"""Imports an nginx configuration, as far as plain routes go: crossplane parses it, this carries it over.

The parts of a configuration that come out are documents in its format, in which a route of a plain class is a way.
"""

from __future__ import annotations

from typing import Any

import crossplane
from result import Err, Ok, Result

from postpass.configuration.settings import address_errors

JsonObject = dict[str, Any]
# Directives that say nothing of what is carried over.
SILENT_DIRECTIVES = ("events", "include", "#")
SCHEME = "http://"
DEFAULT_PORT = 80
DEFAULT_SLOTS = 16  # nginx has no number of requests that a server takes at a time


def carry_over(path: str) -> Result[tuple[JsonObject, list[str]], list[str]]:
    """Pools from upstreams, a plain class for each, ways from locations; and a line for whatever was left.

    :param path: the main file of the nginx configuration.
    :returns: the parts of a configuration with the lines, or the errors of the parser.
    """
    parsed = crossplane.parse(path)
    if parsed["status"] != "ok":
        return Err([f"{e.get('file', path)}:{e.get('line') or '?'}: {e['error']}" for e in parsed["errors"]])
    conversion = _Conversion()
    for settings in parsed["config"]:
        conversion.add_blocks(settings["file"], settings["parsed"])
    conversion.add_direct_back_ends(path)
    return Ok((conversion.document(), conversion.left + conversion.missing_zones()))


def _with_port(address: str) -> str:
    return address if ":" in address else f"{address}:{DEFAULT_PORT}"


def _server(address: str) -> JsonObject:
    return {"url": f"{SCHEME}{address}", "area": "", "slots": DEFAULT_SLOTS}


class _Conversion:
    """The parts of a configuration while the blocks of nginx's are read in the order of the files."""

    def __init__(self) -> None:
        self.pools: JsonObject = {}
        self.routes: JsonObject = {}  # pool by path prefix
        self.left: list[str] = []  # a line for each directive that is not carried over

    def add_blocks(self, file: str, blocks: list[JsonObject]) -> None:
        """Adds what blocks of one level hold, and the levels below `http` and `server`."""
        for block in blocks:
            if block["directive"] in ("http", "server"):
                self.add_blocks(file, block.get("block", []))
            elif block["directive"] == "upstream":
                self._add_upstream(file, block)
            elif block["directive"] == "location":
                self._add_location(file, block)
            elif block["directive"] not in SILENT_DIRECTIVES:
                self._leave(file, block, "not carried over")

    def add_direct_back_ends(self, path: str) -> None:
        """Gives a pool of one server to each route that names an address; one that names nothing known is dropped."""
        for prefix, name in list(self.routes.items()):
            if name in self.pools:
                continue
            address = _with_port(name)
            if address_errors("", address):
                self.left.append(f"{path}: way {prefix}: no upstream {name}")
                del self.routes[prefix]
            else:
                self.pools[name] = {"kind": "plain", "servers": {f"{name}-1": _server(address)}}

    def document(self) -> JsonObject:
        """The parts of a configuration, with a class for each pool."""
        classes = {name: {"kind": "plain", "pool": name, "share": 1} for name in self.pools}
        return {"pools": self.pools, "classes": classes, "ways": self.routes}

    def missing_zones(self) -> list[str]:
        """A line for each server, since nginx does not say in which zone it stands."""
        return [
            f"pools.{name}.servers.{server}.area: fill in where it stands"
            for name, pool in self.pools.items()
            for server in pool["servers"]
        ]

    def _leave(self, file: str, block: JsonObject, why: str) -> None:
        line = f"{file}:{block['line']}: {block['directive']} {' '.join(block['args'])}: {why}"
        self.left.append(line.replace(" : ", ": "))

    def _add_upstream(self, file: str, block: JsonObject) -> None:
        name = block["args"][0]
        servers: JsonObject = {}
        for inner in block.get("block", []):
            if inner["directive"] != "server":
                self._leave(file, inner, "placing is postpass's own")
                continue
            address = _with_port(inner["args"][0] if inner["args"] else "")
            if address_errors("", address):
                self._leave(file, inner, "servers are named by IP number and port")
                continue
            options = [option for option in inner["args"][1:] if option != "down"]
            if options:
                self._leave(file, {**inner, "args": options}, "not carried over")
            servers[f"{name}-{len(servers) + 1}"] = _server(address) | (
                {"leave": True} if "down" in inner["args"] else {}
            )
        self.pools[name] = {"kind": "plain", "servers": servers}

    def _add_location(self, file: str, block: JsonObject) -> None:
        inner = block.get("block", [])
        passed = [b for b in inner if b["directive"] == "proxy_pass"]
        for directive in inner:
            if directive["directive"] != "proxy_pass":
                self._leave(file, directive, "not carried over")
        if len(block["args"]) != 1 or not block["args"][0].startswith("/"):
            self._leave(file, block, "only prefix locations become ways")
        elif not passed:
            self._leave(file, block, "has no proxy_pass")
        else:
            self._add_route(file, block["args"][0], passed[0])

    def _add_route(self, file: str, prefix: str, proxy_pass: JsonObject) -> None:
        target = proxy_pass["args"][0]
        back_end = target.removeprefix(SCHEME)
        if not target.startswith(SCHEME):
            self._leave(file, proxy_pass, "only http back ends")
        elif "/" in back_end:
            self._leave(file, proxy_pass, "a way passes the path on unchanged")
        else:
            self.routes[prefix] = back_end
