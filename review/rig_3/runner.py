"""Runs a case as a script and returns its exit status."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig_3.record import Record

COULD_NOT_RUN = 2


def run(folder: Path, play: Callable[[Record, bool], Awaitable[int]]) -> int:
    """Run the case once and write `record.txt`; SIGTERM ends its processes too.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Plays it, with or without the disruption, and returns 1 if the rule was broken
        and 0 if it held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def cancellable() -> int:
        task = asyncio.create_task(play(record, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return asyncio.run(cancellable())
    except (Exception, asyncio.CancelledError) as exc:
        record.add(f"the case could not run: {exc!r}")
        return COULD_NOT_RUN
    finally:
        record.save()
