"""Command-line program of the entry host's daemon."""

import os
import signal
import sys

import fire
import trio
from result import Err

from hornbeamdeal.settings import load_entry_settings
from hornbeamdeal.wire import serve_http

from ._admin import AdminPages
from ._assembly import make_driver
from ._driver import SupersededError

EXIT_USAGE = 2
EXIT_SUPERSEDED = 4
# Time for requests in flight at a planned stop: the longest deadline of a work
# class plus a margin.
STOP_TIMEOUT_SECONDS = 70.0


async def serve(driver) -> None:
    """Serve until a signal has led to a planned stop."""
    pages = AdminPages(driver=driver)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(driver.run)
            nursery.start_soon(serve_http, driver.settings.admin_listen, pages.respond)
            driver.log("started", zone=driver.settings.zone)
            async for _ in signals:
                await driver.stop(STOP_TIMEOUT_SECONDS)
                nursery.cancel_scope.cancel()
                break


def run(**flags):
    """Run an entry host. Each setting is a flag or a HORNBEAMDEAL_ variable."""
    loaded = load_entry_settings(flags, os.environ)
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(f"hornbeamdeal-entry: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        trio.run(serve, make_driver(loaded.ok_value))
    except* SupersededError as group:
        print(f"hornbeamdeal-entry: {group.exceptions[0]}", file=sys.stderr)
        sys.exit(EXIT_SUPERSEDED)


def main():
    """Run the command-line program."""
    fire.Fire(run)
