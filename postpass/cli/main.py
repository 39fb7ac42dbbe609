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
from postpass.configuration.json_documents import parse_json
from postpass.control.health import health_lines

PROGRAM = "postpassctl"
JOBS_PATH = "/v1/lots"


def print_json(value: Any) -> None:
    """Prints a value on standard output as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_errors(lines: list[str]) -> None:
    """Prints lines on standard error."""
    for line in lines:
        print(line, file=sys.stderr)


def write_json(path: str, value: Any, ensure_ascii: bool = False) -> None:
    """Writes a value to a file as indented JSON, or prints it if the path is empty."""
    if path:
        text = json.dumps(value, indent=2, ensure_ascii=ensure_ascii) + "\n"
        Path(path).write_text(text, encoding="utf-8")
    else:
        print_json(value)


def read_json(path: str) -> Any:
    """Returns the value of a JSON file; raises CommandError if it can't be read or isn't JSON."""
    try:
        parsed = parse_json(Path(path).read_bytes())
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error.strerror}") from error
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.USAGE, f"{path}: {parsed.unwrap_err()}")
    return parsed.unwrap()


def checked_configuration(path: str) -> Result[Any, list[str]]:
    """Returns the configuration in a file, or its errors; raises CommandError if the file can't be read."""
    raw = read_json(path)
    flaws = check(raw).err()
    return Ok(raw) if flaws is None else Err(flaws)


class ConfigurationCommands:
    """The configuration of the whole fleet (the manifest), which is one file and is applied as a unit."""

    def __init__(self, program: str) -> None:
        self._program = program

    def check(self, file: str) -> int:
        """Checks a manifest file without applying it; lists each error with its path in the file."""
        result = checked_configuration(file)
        if isinstance(result, Err):
            print_errors(result.unwrap_err())
            return ExitCode.REFUSED
        print(f"{file}: good")
        return ExitCode.OK

    def get(self, control: str = "", out: str = "") -> int:
        """Prints the manifest in force, and its edition (the revision of the configuration) on standard error.

        Args:
          control: IP:PORT of control machines' HTTP side, separated by commas (or POSTPASS_CONTROL).
          out: file to write the manifest to, instead of printing it.
        """
        answer = asyncio.run(fleet_client.read_configuration(control_addresses(control)))
        if answer.status != 200:
            raise CommandError(ExitCode.REFUSED if answer.status == 404 else ExitCode.UNKNOWN, answer.error_line())
        print(f"edition {answer.revision}", file=sys.stderr)
        write_json(out, answer.body)
        return ExitCode.OK

    def apply(self, file: str, edition: int, control: str = "") -> int:
        """Applies a manifest that was edited from an edition; changes nothing if another edition is in force by now.

        Args:
          file: file with the complete manifest.
          edition: the edition that it was edited from, as `manifest get` printed it; 0 for a fleet without a manifest.
          control: IP:PORT of control machines' HTTP side, separated by commas (or POSTPASS_CONTROL).
        """
        configuration = checked_configuration(file)
        if isinstance(configuration, Err):
            print_errors(configuration.unwrap_err())
            return ExitCode.REFUSED
        addrs, headers = control_addresses(control), {"if-match": f'"{edition}"'}
        path = fleet_client.CONFIGURATION_PATH
        answer = asyncio.run(fleet_client.request_from_any(addrs, "PUT", path, configuration.unwrap(), headers))
        if answer.status == 200:
            print(f"edition {answer.body['edition']} is in force")
            return ExitCode.OK
        if answer.status == 202:
            names = ", ".join(answer.body["unconfirmed"])
            print(f"edition {answer.body['edition']} is taken; not yet confirmed by {names}")
            hint = f"`{self._program} status` shows when it is complete; applying the same again asks them anew"
            print(hint, file=sys.stderr)
            return ExitCode.PENDING
        if answer.status == 412:
            reason = f"edition {answer.revision} is in force, this was made from {edition}; get it anew"
            raise CommandError(ExitCode.REFUSED, reason)
        print_errors(answer.body.get("flaws", []) if isinstance(answer.body, dict) else [])
        raise CommandError(ExitCode.REFUSED if answer.status < 500 else ExitCode.UNKNOWN, answer.error_line())

    def diff(self, file: str, control: str = "") -> int:
        """Shows what applying a manifest file would change; exits with 1 if there are changes, 0 if there are none."""
        answer = asyncio.run(fleet_client.read_configuration(control_addresses(control)))
        if answer.status != 200:
            raise CommandError(ExitCode.UNKNOWN, answer.error_line())
        changes = delta(answer.body, read_json(file))
        for change in changes:
            value = json.dumps(change[1], ensure_ascii=False) if len(change) > 1 else "(dropped)"
            print(".".join(change[0]), "->", value)
        return ExitCode.REFUSED if changes else ExitCode.OK

    def import_(self, file: str, out: str = "") -> int:
        """Converts an nginx configuration to the pools, classes and ways of a manifest; lists what it could not convert.

        Args:
          file: the nginx configuration file.
          out: file to write these parts of a manifest to; they are printed if it is left out.
        """
        # The parser of nginx files is imported here, because no other command needs it.
        from postpass.configuration.nginx_import import carry_over

        result = carry_over(file)
        if isinstance(result, Err):
            print_errors(result.unwrap_err())
            return ExitCode.REFUSED
        parts, not_carried_over = result.unwrap()
        print_errors(not_carried_over)
        write_json(out, parts, ensure_ascii=True)
        return ExitCode.OK


class JobCommands:
    """Batch jobs (lots): submit them, show their state, read their results, end them."""

    def __init__(self, program: str) -> None:
        self._program = program

    def send(self, file: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Submits a lot: a JSON file with class, items, and due (a time) or within (seconds).

        If the file gives an id, the same lot can safely be sent again.

        Args:
          file: JSON file with the lot.
          edge: IP:PORT of edges' HTTP side, separated by commas (or POSTPASS_EDGE).
          caller: the older name of --client; ignored if --client is given.
          client: your name as a client; a lot that is sent under a name can be read under that name only.
        """
        headers = {"x-caller": client or caller}
        answer = asyncio.run(
            fleet_client.request_from_any(edge_addresses(edge), "POST", JOBS_PATH, read_json(file), headers)
        )
        if answer.status == 201:
            print(f"{answer.body['id']} {answer.body['state']}")
            return ExitCode.OK
        state = answer.body.get("error", {}).get("state", "") if isinstance(answer.body, dict) else ""
        if state == "unknown":
            hint = f"ask with: {self._program} lot show {answer.body['error']['id']}"
            raise CommandError(ExitCode.UNKNOWN, f"{answer.error_line()}; {hint}")
        raise CommandError(ExitCode.REFUSED, answer.error_line())

    @SetParseFns(lot=str)
    def show(self, lot: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Shows the state of a lot."""
        print_json(_request_job("GET", f"{JOBS_PATH}/{lot}", edge, client or caller))
        return ExitCode.OK

    @SetParseFns(lot=str)
    def results(
        self, lot: str, start: int = 0, most: int = 100, edge: str = "", caller: str = "", client: str = ""
    ) -> int:
        """Prints at most --most results from the position --start on, each as one line of JSON.

        Exits with 0 if they include the last result of the lot, with 1 if more may come.
        """
        path = f"{JOBS_PATH}/{lot}/results?start={start}&most={most}"
        body = _request_job("GET", path, edge, client or caller)
        for row in body["results"]:
            print(json.dumps(row, ensure_ascii=False))
        if not body["whole"]:
            print(f"more may come: --start {body['next']}", file=sys.stderr)
        return ExitCode.OK if body["whole"] else ExitCode.REFUSED

    @SetParseFns(lot=str)
    def end(self, lot: str, edge: str = "", caller: str = "", client: str = "") -> int:
        """Ends a lot: once the time limit for ending lots has passed, none of its items is sent to a worker any more."""
        print(_request_job("DELETE", f"{JOBS_PATH}/{lot}", edge, client or caller)["state"])
        return ExitCode.OK


def _request_job(method: str, path: str, edge: str, client: str) -> Any:
    """Sends a request about a job to an edge, and returns the body of its response; raises CommandError if it is an error."""
    answer: Answer = asyncio.run(
        fleet_client.request_from_any(edge_addresses(edge), method, path, None, {"x-caller": client})
    )
    if answer.status != 200:
        raise CommandError(ExitCode.UNKNOWN if answer.status >= 500 else ExitCode.REFUSED, answer.error_line())
    return answer.body


class Commands:
    """Operates a postpass fleet: manifest (also called configuration), lot, status, doctor."""

    def __init__(self, program: str = PROGRAM) -> None:
        self._program = program
        self.manifest = self.configuration = ConfigurationCommands(program)
        self.lot = JobCommands(program)

    def status(self, control: str = "", raw: bool = False) -> int:
        """Shows the edition that each daemon runs, the owner of each partition, and the operations that are pending.

        Args:
          control: IP:PORT of control machines' HTTP side, separated by commas (or POSTPASS_CONTROL).
          raw: print all status pages as JSON.
        """
        addrs = control_addresses(control)
        try:
            pages = asyncio.run(fleet_client.fleet_status_pages(addrs, self._program))
        except CommandError as error:
            # Without a primary the configuration can't be read, but the control members still report their own status.
            member_pages = asyncio.run(fleet_client.control_status_pages(addrs))
            if raw:
                print_json(member_pages)
            else:
                print("\n".join([f"{self._program}: {error.reason}", *health_lines(member_pages)]))
            return ExitCode.UNKNOWN
        if raw:
            print_json(pages)
        else:
            print("\n".join(overview(FleetStatus.from_json(pages))))
        return ExitCode.OK

    def doctor(self, control: str = "") -> int:
        """Looks for common faults of a running fleet, and prints each with its remedy; exits with 1 if there are any.

        Args:
          control: IP:PORT of control machines' HTTP side, separated by commas (or POSTPASS_CONTROL).
        """
        addrs = control_addresses(control)
        try:
            earlier_pages = asyncio.run(fleet_client.fleet_status_pages(addrs, self._program))
        except CommandError as error:
            print(f"D01 control: the manifest can't be read ({self._program}: {error.reason})")
            print("    remedy: start control machines until most of them run")
            for line in health_lines(asyncio.run(fleet_client.control_status_pages(addrs))):
                print(line)
            return ExitCode.REFUSED
        later_pages = asyncio.run(fleet_client.fleet_status_pages(addrs, self._program))
        findings = diagnose(FleetStatus.from_json(earlier_pages), FleetStatus.from_json(later_pages))
        for finding in findings:
            print(finding)
        print("no faults found" if not findings else f"{len(findings)} found")
        return ExitCode.REFUSED if findings else ExitCode.OK


def main(argv: list[str] | None = None, program: str = PROGRAM) -> None:
    """Runs a command and exits with its exit code; `program` is the name under which it was started."""
    arguments = argv if argv is not None else sys.argv[1:]
    # `import` is a keyword of Python, so the method of this command is named `import_`.
    command = ["import_" if argument == "import" else argument for argument in arguments]
    try:
        exit_code = fire.Fire(
            Commands(program),
            command=command,
            name=program,
            serialize=lambda result: None if isinstance(result, int) else result,
        )
    except CommandError as error:
        print(f"{program}: {error.reason}", file=sys.stderr)
        sys.exit(error.code)
    sys.exit(exit_code if isinstance(exit_code, int) else ExitCode.OK)
