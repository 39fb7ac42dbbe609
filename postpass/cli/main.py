"""`postpassctl`: the command line for operators and clients."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import fire
from fire.decorators import SetParseFns
from result import Err, Ok, Result

from postpass.cli import fleet_client
from postpass.cli.doctor import diagnose
from postpass.cli.fleet_client import Answer, CommandError, ExitCode, control_addresses, edge_addresses
from postpass.cli.status import overview
from postpass.cli.status_page import FleetStatus
from postpass.configuration.configuration_check import check
from postpass.configuration.json_delta import delta
from postpass.control.health import health_lines

PROGRAM = "postpassctl"
JOBS_PATH = "/v1/lots"


def print_json(value: Any) -> None:
    """Prints a value on standard output, for people."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_errors(lines: list[str]) -> None:
    """Prints lines on standard error."""
    for line in lines:
        print(line, file=sys.stderr)


def write_json(path: str, value: Any, ensure_ascii: bool = False) -> None:
    """Writes a value to a file, or prints it if the path is empty."""
    if path:
        text = json.dumps(value, indent=2, ensure_ascii=ensure_ascii) + "\n"
        Path(path).write_text(text, encoding="utf-8")
    else:
        print_json(value)


def read_json(path: str) -> Any:
    """The value of a file; raises CommandError if it can't be read or is no JSON."""
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: not JSON: {error}") from error


def checked_configuration(path: str) -> Result[Any, list[str]]:
    """The configuration of a file, or its flaws; raises CommandError if it can't be read."""
    raw = read_json(path)
    flaws = check(raw).err()
    return Ok(raw) if flaws is None else Err(flaws)


class ConfigurationCommands:
    """The whole desired state, in one file, applied as a whole."""

    def __init__(self, program: str) -> None:
        self._program = program

    def check(self, file: str) -> int:
        """Checks a manifest file without applying it; every flaw is listed with its path."""
        got = checked_configuration(file)
        if isinstance(got, Err):
            print_errors(got.unwrap_err())
            return ExitCode.REFUSED
        print(f"{file}: good")
        return ExitCode.OK

    def get(self, control: str = "", out: str = "") -> int:
        """Prints the manifest in force; the edition goes to stderr.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
          out: a file to write to instead.
        """
        got = asyncio.run(fleet_client.read_configuration(control_addresses(control)))
        if got.status != 200:
            raise CommandError(ExitCode.REFUSED if got.status == 404 else ExitCode.UNKNOWN, got.refusal())
        print(f"edition {got.revision}", file=sys.stderr)
        write_json(out, got.body)
        return ExitCode.OK

    def apply(self, file: str, edition: int, control: str = "") -> int:
        """Applies a manifest made from an edition; if that is no longer the one in force, nothing changes.

        Args:
          file: the whole manifest.
          edition: the edition that it was made from, as `manifest get` told it; 0 for the very first.
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
        """
        configuration = checked_configuration(file)
        if isinstance(configuration, Err):
            print_errors(configuration.unwrap_err())
            return ExitCode.REFUSED
        where, headers = control_addresses(control), {"if-match": f'"{edition}"'}
        path = fleet_client.CONFIGURATION_PATH
        got = asyncio.run(fleet_client.ask(where, "PUT", path, configuration.unwrap(), headers))
        if got.status == 200:
            print(f"edition {got.body['edition']} is in force")
            return ExitCode.OK
        if got.status == 202:
            names = ", ".join(got.body["unconfirmed"])
            print(f"edition {got.body['edition']} is taken; not yet confirmed by {names}")
            hint = f"`{self._program} status` shows when it is complete; applying the same again asks them anew"
            print(hint, file=sys.stderr)
            return ExitCode.PENDING
        if got.status == 412:
            reason = f"edition {got.revision} is in force, this was made from {edition}; get it anew"
            raise CommandError(ExitCode.REFUSED, reason)
        print_errors(got.body.get("flaws", []) if isinstance(got.body, dict) else [])
        raise CommandError(ExitCode.REFUSED if got.status < 500 else ExitCode.UNKNOWN, got.refusal())

    def diff(self, file: str, control: str = "") -> int:
        """Shows what applying a file would change; exit 1 if anything would."""
        got = asyncio.run(fleet_client.read_configuration(control_addresses(control)))
        if got.status != 200:
            raise CommandError(ExitCode.UNKNOWN, got.refusal())
        changes = delta(got.body, read_json(file))
        for change in changes:
            value = json.dumps(change[1], ensure_ascii=False) if len(change) > 1 else "(dropped)"
            print(".".join(change[0]), "->", value)
        return ExitCode.REFUSED if changes else ExitCode.OK

    def import_(self, file: str, out: str = "") -> int:
        """Makes pools, classes and ways from an nginx configuration; says what it could not carry over.

        Args:
          file: the nginx configuration file.
          out: a file for the parts of a manifest; printed if left out.
        """
        # The parser of nginx files is loaded for this command alone.
        from postpass.configuration.nginx_import import carry_over

        got = carry_over(file)
        if isinstance(got, Err):
            print_errors(got.unwrap_err())
            return ExitCode.REFUSED
        parts, not_carried_over = got.unwrap()
        print_errors(not_carried_over)
        write_json(out, parts, ensure_ascii=True)
        return ExitCode.OK


class JobCommands:
    """Lots: hand in, look, read results, end."""

    def __init__(self, program: str) -> None:
        self._program = program

    def send(self, file: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Hands in a lot: a JSON file with class, items, and due (a time) or within (seconds). Give it an
        id to make sending again safe.

        Args:
          file: the lot.
          edge: IP:PORT of edges, with commas between them (or POSTPASS_EDGE).
          caller: the same as client, which wins.
          client: your name; a lot sent under a name is shown under that name only.
        """
        headers = {"x-caller": client or caller}
        got = asyncio.run(fleet_client.ask(edge_addresses(edge), "POST", JOBS_PATH, read_json(file), headers))
        if got.status == 201:
            print(f"{got.body['id']} {got.body['state']}")
            return ExitCode.OK
        state = got.body.get("error", {}).get("state", "") if isinstance(got.body, dict) else ""
        if state == "unknown":
            hint = f"ask with: {self._program} lot show {got.body['error']['id']}"
            raise CommandError(ExitCode.UNKNOWN, f"{got.refusal()}; {hint}")
        raise CommandError(ExitCode.REFUSED, got.refusal())

    @SetParseFns(lot=str)
    def show(self, lot: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Shows a lot's state."""
        print_json(_ask_for_job("GET", f"{JOBS_PATH}/{lot}", edge, client or caller))
        return ExitCode.OK

    @SetParseFns(lot=str)
    def results(
        self, lot: str, start: int = 0, most: int = 100, edge: str = "", caller: str = "", client: str = ""
    ) -> int:
        """Prints results from a place on, a JSON line each; exit 0 if the lot's results end there, 1 if more come."""
        path = f"{JOBS_PATH}/{lot}/results?start={start}&most={most}"
        body = _ask_for_job("GET", path, edge, client or caller)
        for row in body["results"]:
            print(json.dumps(row, ensure_ascii=False))
        if not body["whole"]:
            print(f"more may come: --start {body['next']}", file=sys.stderr)
        return ExitCode.OK if body["whole"] else ExitCode.REFUSED

    @SetParseFns(lot=str)
    def end(self, lot: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Ends a lot: nothing of it reaches a worker more than the end bound later."""
        print(_ask_for_job("DELETE", f"{JOBS_PATH}/{lot}", edge, client or caller)["state"])
        return ExitCode.OK


def _ask_for_job(method: str, path: str, edge: str, client: str) -> Any:
    """What an edge answers about a job; raises CommandError if it refuses."""
    got: Answer = asyncio.run(fleet_client.ask(edge_addresses(edge), method, path, None, {"x-caller": client}))
    if got.status != 200:
        raise CommandError(ExitCode.UNKNOWN if got.status >= 500 else ExitCode.REFUSED, got.refusal())
    return got.body


class Commands:
    """postpass, from outside: manifest (or configuration), lot, status, doctor."""

    def __init__(self, program: str = PROGRAM) -> None:
        self._program = program
        self.manifest = self.configuration = ConfigurationCommands(program)
        self.lot = JobCommands(program)

    def status(self, control: str = "", raw: bool = False) -> int:
        """Shows the edition each daemon runs, who owns which partition, and what is still pending.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
          raw: print everything as JSON.
        """
        where = control_addresses(control)
        try:
            pages = asyncio.run(fleet_client.fleet_status_pages(where, self._program))
        except CommandError as error:
            # Without a primary no configuration can be read; what the members say of themselves can.
            members = asyncio.run(fleet_client.control_status_pages(where))
            if raw:
                print_json(members)
            else:
                print("\n".join([f"{self._program}: {error.reason}", *health_lines(members)]))
            return ExitCode.UNKNOWN
        if raw:
            print_json(pages)
        else:
            print("\n".join(overview(FleetStatus.from_json(pages))))
        return ExitCode.OK

    def doctor(self, control: str = "") -> int:
        """Looks for common faults on a live fleet; exit 1 if there are any, each with its remedy.

        Args:
          control: IP:PORT of control machines' HTTP side, with commas between them (or POSTPASS_CONTROL).
        """
        where = control_addresses(control)
        try:
            first = asyncio.run(fleet_client.fleet_status_pages(where, self._program))
        except CommandError as error:
            print(f"D01 control: the manifest can't be read ({self._program}: {error.reason})")
            print("    remedy: start control machines until most of them run")
            for line in health_lines(asyncio.run(fleet_client.control_status_pages(where))):
                print(line)
            return ExitCode.REFUSED
        second = asyncio.run(fleet_client.fleet_status_pages(where, self._program))
        findings = diagnose(FleetStatus.from_json(first), FleetStatus.from_json(second))
        for finding in findings:
            print(finding)
        print("no faults found" if not findings else f"{len(findings)} found")
        return ExitCode.REFUSED if findings else ExitCode.OK


def main(argv: list[str] | None = None, program: str = PROGRAM) -> None:
    """Runs a command and exits with its code; `program` is the name that it was called by."""
    arguments = argv if argv is not None else sys.argv[1:]
    # `import` is a keyword of the language, so that no method can have that name.
    words = ["import_" if argument == "import" else argument for argument in arguments]
    try:
        code = fire.Fire(
            Commands(program), command=words, name=program, serialize=lambda got: None if isinstance(got, int) else got
        )
    except CommandError as error:
        print(f"{program}: {error.reason}", file=sys.stderr)
        sys.exit(error.code)
    sys.exit(code if isinstance(code, int) else ExitCode.OK)
