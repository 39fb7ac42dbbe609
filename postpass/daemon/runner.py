"""Runs a daemon as a process: its event loop, the signals that end it or reload its settings, and its exit code."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from absl import logging

from postpass.daemon.process import Daemon
from postpass.runtime import log_events
from postpass.runtime.errors import FaultError
from postpass.runtime.log_events import Event

EXIT_CANNOT_LISTEN = 1
EXIT_FAULT = 3


def run_daemon(make_daemon: Callable[[], Daemon]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Returns the exit code: 0, `EXIT_CANNOT_LISTEN`, or `EXIT_FAULT` after a fault with which it must not go on.
    """
    code = 0

    async def main() -> None:
        nonlocal code
        daemon = make_daemon()
        loop = asyncio.get_running_loop()

        def leave(signal_name: str) -> None:
            log_events.emit(Event.STOPPING, daemon.settings.name, signal=signal_name)
            daemon.stop.set()

        for leave_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(leave_signal, leave, leave_signal.name)
        loop.add_signal_handler(signal.SIGHUP, daemon.reload_settings)
        try:
            await daemon.run()
        except OSError as error:
            logging.error("%s cannot start: %s", daemon.settings.name, error)
            code = EXIT_CANNOT_LISTEN
        except FaultError as fault_error:
            logging.error("%s stopped after a fault: %s", daemon.settings.name, fault_error)
            code = EXIT_FAULT
        if daemon.fatal_fault is not None:
            logging.error("%s stopped after a fault: %s", daemon.settings.name, daemon.fatal_fault)
            code = EXIT_FAULT

    asyncio.run(main())
    return code
