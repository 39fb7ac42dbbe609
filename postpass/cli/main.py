"""pp: the tool for operators and callers."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import fire
from fire.decorators import SetParseFns
from result import Err, Ok, Result

from postpass.cli.doctor import diagnose
from postpass.configuration.configuration_check import check
from postpass.configuration.json_delta import delta
from postpass.control.health import health_lines

FINE, REFUSED, USAGE, UNKNOWN, PENDING = 0, 1, 2, 3, 4
# Another one in the simulator.
CONNECTOR: Callable[[], aiohttp.BaseConnector | None] = lambda: None  # noqa: E731


@dataclass(frozen=True)
class Got:
    status: int
    body: Any
    heads: dict[str, str]
    addr: str


class Exit(Exception):
    """Ends the command with a line for the user and a code."""

    def __init__(self, code: int, line: str) -> None:
        super().__init__(line)
        self.code, self.line = code, line


def addrs(given: Any, env: str, what: str) -> list[str]:
    if isinstance(given, (tuple, list)):
        out = [str(a) for a in given]
    else:
        out = [a for a in str(given or os.environ.get(env, "")).split(",") if a]
    if not out:
        raise Exit(USAGE, f"pp: no {what} address: give --{what} IP:PORT[,IP:PORT] or set {env}")
    return out


async def ask(
    where: list[str], method: str, path: str, body: Any = None, heads: dict[str, str] | None = None, limit: float = 20
) -> Got:
    """The first address that answers; a call that changes something isn't sent on after it may have left.

    A control machine without contact says so with 503: the next one is asked. A manifest may be sent on even then, since
    one that was taken already is told as such.
    """
    why, last = "", None
    repeatable = method == "GET" or path == "/v1/manifest"
    async with aiohttp.ClientSession(
        connector=CONNECTOR(), timeout=aiohttp.ClientTimeout(total=limit, sock_connect=2)
    ) as session:
        for addr in where:
            try:
                async with session.request(method, f"http://{addr}{path}", json=body, headers=heads) as got:
                    data = await got.read()
                    try:
                        raw = json.loads(data)
                    except ValueError:
                        raw = data.decode(errors="replace")
                    last = Got(got.status, raw, {k.lower(): v for k, v in got.headers.items()}, addr)
                    if got.status != 503 or not repeatable:
                        return last
            except aiohttp.ClientConnectorError as bad:
                why = f"{addr}: {bad.os_error.strerror or 'cannot be reached'}"
            except (aiohttp.ClientError, OSError, TimeoutError) as bad:
                why = f"{addr}: {str(bad) or 'no answer in time'}"
                if method != "GET":
                    raise Exit(UNKNOWN, f"pp: {why}; it is not known whether it was taken, ask again") from bad
    if last is not None:
        return last
    raise Exit(UNKNOWN, f"pp: {why}")


def refusal(got: Got) -> str:
    error = got.body.get("error", {}) if isinstance(got.body, dict) else {}
    why = error.get("why", str(got.body)[:200])
    wait = f"; try again in {got.heads['retry-after']} s" if "retry-after" in got.heads else ""
    return f"pp: {error.get('step', 'call')} at {error.get('peer', got.addr)}: {why}{wait}"


def show(thing: Any) -> None:
    print(json.dumps(thing, indent=2, ensure_ascii=False))


def read_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as bad:
        raise Exit(USAGE, f"pp: {path}: {bad.strerror}") from bad
    except ValueError as bad:
        raise Exit(USAGE, f"pp: {path}: not JSON: {bad}") from bad


def checked(path: str) -> Result[Any, list[str]]:
    raw = read_json(path)
    return Ok(raw) if (got := check(raw)).is_ok() else Err(got.unwrap_err())


class ConfigurationTool:
    """The whole desired state, in one file, applied as a whole."""

    def check(self, file: str) -> int:
        """Checks a manifest file without applying it; every flaw is listed with its path."""
        got = checked(file)
        if isinstance(got, Err):
            print("\n".join(got.unwrap_err()), file=sys.stderr)
            return REFUSED
        print(f"{file}: good")
        return FINE

    def get(self, control: str = "", out: str = "") -> int:
        """Prints the manifest in force; the edition goes to stderr.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
          out: a file to write to instead.
        """
        got = asyncio.run(ask(addrs(control, "POSTPASS_CONTROL", "control"), "GET", "/v1/manifest"))
        if got.status != 200:
            raise Exit(REFUSED if got.status == 404 else UNKNOWN, refusal(got))
        print(f"edition {got.heads['etag'].strip(chr(34))}", file=sys.stderr)
        if out:
            Path(out).write_text(json.dumps(got.body, indent=2, ensure_ascii=False) + "\n", encoding="utf-8")
        else:
            show(got.body)
        return FINE

    def apply(self, file: str, edition: int, control: str = "") -> int:
        """Applies a manifest made from an edition; if that is no longer the one in force, nothing changes.

        Args:
          file: the whole manifest.
          edition: the edition that it was made from, as `pp manifest get` told it; 0 for the very first.
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
        """
        got_file = checked(file)
        if isinstance(got_file, Err):
            print("\n".join(got_file.unwrap_err()), file=sys.stderr)
            return REFUSED
        where = addrs(control, "POSTPASS_CONTROL", "control")
        got = asyncio.run(ask(where, "PUT", "/v1/manifest", got_file.unwrap(), {"if-match": f'"{edition}"'}))
        if got.status == 200:
            print(f"edition {got.body['edition']} is in force")
            return FINE
        if got.status == 202:
            names = ", ".join(got.body["unconfirmed"])
            print(f"edition {got.body['edition']} is taken; not yet confirmed by {names}")
            print("`pp status` shows when it is complete; applying the same again asks them anew", file=sys.stderr)
            return PENDING
        if got.status == 412:
            raise Exit(
                REFUSED,
                f"pp: edition {got.heads['etag'].strip(chr(34))} is in force, this was made from {edition}; get it anew",
            )
        for flaw in got.body.get("flaws", []) if isinstance(got.body, dict) else []:
            print(flaw, file=sys.stderr)
        raise Exit(REFUSED if got.status < 500 else UNKNOWN, refusal(got))

    def diff(self, file: str, control: str = "") -> int:
        """Shows what applying a file would change; exit 1 if anything would."""
        got = asyncio.run(ask(addrs(control, "POSTPASS_CONTROL", "control"), "GET", "/v1/manifest"))
        if got.status != 200:
            raise Exit(UNKNOWN, refusal(got))
        changes = delta(got.body, read_json(file))
        for change in changes:
            print(
                ".".join(change[0]), "->", json.dumps(change[1], ensure_ascii=False) if len(change) > 1 else "(dropped)"
            )
        return REFUSED if changes else FINE

    def import_(self, file: str, out: str = "") -> int:
        """Makes pools, classes and ways from an nginx configuration; says what it could not carry over.

        Args:
          file: the nginx configuration file.
          out: a file for the parts of a manifest; printed if left out.
        """
        from postpass.configuration.nginx_import import carry_over

        got = carry_over(file)
        if isinstance(got, Err):
            print("\n".join(got.unwrap_err()), file=sys.stderr)
            return REFUSED
        parts, left = got.unwrap()
        for line in left:
            print(line, file=sys.stderr)
        if out:
            Path(out).write_text(json.dumps(parts, indent=2) + "\n", encoding="utf-8")
        else:
            show(parts)
        return FINE


class JobTool:
    """Lots: hand in, look, read results, end."""

    def send(self, file: str, edge: str = "", caller: str = "") -> int:
        """Hands in a lot: a JSON file with class, items, and due (a time) or within (seconds). Give it an
        id to make sending again safe.

        Args:
          file: the lot.
          edge: IP:PORT of edges, with commas between them (or POSTPASS_EDGE).
          caller: your name; a lot sent under a name is shown under that name only.
        """
        got = asyncio.run(
            ask(addrs(edge, "POSTPASS_EDGE", "edge"), "POST", "/v1/lots", read_json(file), {"x-caller": caller})
        )
        if got.status == 201:
            print(f"{got.body['id']} {got.body['state']}")
            return FINE
        state = got.body.get("error", {}).get("state", "") if isinstance(got.body, dict) else ""
        if state == "unknown":
            raise Exit(UNKNOWN, refusal(got) + f"; ask with: pp lot show {got.body['error']['id']}")
        raise Exit(REFUSED, refusal(got))

    def _lot(self, method: str, path: str, edge: str, caller: str) -> Any:
        got = asyncio.run(ask(addrs(edge, "POSTPASS_EDGE", "edge"), method, path, None, {"x-caller": caller}))
        if got.status != 200:
            raise Exit(UNKNOWN if got.status >= 500 else REFUSED, refusal(got))
        return got.body

    @SetParseFns(lot=str)
    def show(self, lot: str, edge: str = "", caller: str = "") -> int:
        """Shows a lot's state."""
        show(self._lot("GET", f"/v1/lots/{lot}", edge, caller))
        return FINE

    @SetParseFns(lot=str)
    def results(self, lot: str, start: int = 0, most: int = 100, edge: str = "", caller: str = "") -> int:
        """Prints results from a place on, a JSON line each; exit 0 if the lot's results end there, 1 if more come."""
        body = self._lot("GET", f"/v1/lots/{lot}/results?start={start}&most={most}", edge, caller)
        for row in body["results"]:
            print(json.dumps(row, ensure_ascii=False))
        if not body["whole"]:
            print(f"more may come: --start {body['next']}", file=sys.stderr)
        return FINE if body["whole"] else REFUSED

    @SetParseFns(lot=str)
    def end(self, lot: str, edge: str = "", caller: str = "") -> int:
        """Ends a lot: nothing of it reaches a worker more than the end bound later."""
        print(self._lot("DELETE", f"/v1/lots/{lot}", edge, caller)["state"])
        return FINE


async def control_views(where: list[str]) -> dict[str, Any]:
    """What those of the given control machines say of themselves that answer, whether or not any of them leads."""

    async def one(addr: str) -> Any:
        try:
            return (await ask([addr], "GET", "/v1/status", limit=3)).body
        except Exit:
            return None

    seen = await asyncio.gather(*(one(addr) for addr in where))
    return {s["name"]: s["control"] for s in seen if isinstance(s, dict) and "control" in s}


async def statuses(where: list[str]) -> dict[str, Any]:
    """The status of every machine of the manifest, or why it can't be had."""
    got = await ask(where, "GET", "/v1/manifest")
    if got.status != 200:
        raise Exit(UNKNOWN, refusal(got))

    async def one(m: dict[str, Any]) -> Any:
        try:
            answer = await ask([m["http"]], "GET", "/v1/status", limit=3)
            return answer.body
        except Exit as bad:
            return {"unreachable": bad.line}

    names = [n for n, m in got.body["machines"].items() if not m.get("gone")]
    seen = await asyncio.gather(*(one(got.body["machines"][n]) for n in names))
    return {
        "edition": int(got.heads["etag"].strip('"')),
        "manifest": got.body,
        "machines": dict(zip(names, seen, strict=True)),
    }


class Tool:
    """postpass, from outside: pp manifest, pp lot, pp status, pp doctor."""

    def __init__(self) -> None:
        self.manifest = ConfigurationTool()
        self.lot = JobTool()

    def status(self, control: str = "", raw: bool = False) -> int:
        """Shows the edition each daemon runs, who owns which partition, and what is still pending.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
          raw: print everything as JSON.
        """
        from postpass.cli.status import overview

        where = addrs(control, "POSTPASS_CONTROL", "control")
        try:
            seen = asyncio.run(statuses(where))
        except Exit as bad:
            # Without a primary no manifest can be read; what the members say of themselves can.
            views = asyncio.run(control_views(where))
            show(views) if raw else print("\n".join([bad.line, *health_lines(views)]))
            return UNKNOWN
        if raw:
            show(seen)
        else:
            print("\n".join(overview(seen)))
        return FINE

    def doctor(self, control: str = "") -> int:
        """Looks for common faults on a live fleet; exit 1 if there are any, each with its remedy.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
        """
        where = addrs(control, "POSTPASS_CONTROL", "control")
        try:
            first = asyncio.run(statuses(where))
        except Exit as bad:
            print(
                f"D01 control: the manifest can't be read ({bad.line})\n    remedy: start control machines until most of them run"
            )
            for line in health_lines(asyncio.run(control_views(where))):
                print(line)
            return REFUSED
        second = asyncio.run(statuses(where))
        found = diagnose(first, second)
        for f in found:
            print(f)
        print("no faults found" if not found else f"{len(found)} found")
        return REFUSED if found else FINE


def main(argv: list[str] | None = None) -> None:
    words = [("import_" if w == "import" else w) for w in (argv if argv is not None else sys.argv[1:])]
    try:
        code = fire.Fire(Tool(), command=words, name="pp", serialize=lambda got: None if isinstance(got, int) else got)
    except Exit as bad:
        print(bad.line, file=sys.stderr)
        sys.exit(bad.code)
    sys.exit(code if isinstance(code, int) else FINE)
