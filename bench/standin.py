"""Runs one stand-in server as a process of its own: python -m bench.standin --kind model --name w1 --http IP:PORT."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

import fire

from bench.worker import PlainServer, Worker
from postpass.configuration.settings import split_address
from postpass.runtime.environment import serve_http


def run(kind: str, name: str, http: str, log: str, area: str = "", slots: int = 8, weights: str = "model-1") -> None:
    """Serves until SIGTERM, and writes what it took to a log, a JSON line each. The parameters are the flags."""
    with Path(log).open("a", buffering=1) as out:

        def note(event: dict[str, Any]) -> None:
            out.write(json.dumps({"t": time.time(), "area": area, **event}) + "\n")

        async def main() -> None:
            stop = asyncio.Event()
            for sig in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(sig, stop.set)
            host, port = split_address(http)
            if kind == "model":
                worker = Worker(name, note, time.time, slots=slots, weights=weights)
                engine = asyncio.create_task(worker.engine())
                await serve_http(worker.app(), host, port, stop)
                engine.cancel()
            else:
                await serve_http(PlainServer(name, note).app(), host, port, stop)

        asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(run)
