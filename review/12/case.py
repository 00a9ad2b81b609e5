"""A rolling restart of the fleet while a request that crashes instances comes again."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig_3.crashing import CrashingCase  # noqa: E402
from rig_3.record import Record  # noqa: E402
from rig_3.runner import run  # noqa: E402

DAEMONS = 8
LEAD_S = 6.0  # the shares of the tenant's quota fill
GAP_S = 8.5  # each VM is back in touch before the next one is stopped
BEFORE_S, AFTER_S = 10.0, 10.0
EVERY_S = 1.0


async def play(record: Record, trouble: bool) -> int:
    """Play the case and return its exit status."""
    case = CrashingCase(record, DAEMONS, b"x" * 1200, crashes=True)
    fleet = await case.start()
    callers: list[asyncio.Task] = []
    try:
        await case.publish()
        await fleet.start()
        await asyncio.sleep(LEAD_S)
        callers.append(asyncio.create_task(case.traffic.run(fleet, per_s=12.0)))
        await asyncio.sleep(4.0)
        callers.append(asyncio.create_task(case.send_crashing(fleet, EVERY_S)))
        await asyncio.sleep(BEFORE_S)
        for daemon in fleet.daemons:
            gap = asyncio.create_task(asyncio.sleep(GAP_S))
            if trouble:
                await daemon.restart()
            await gap
        await asyncio.sleep(AFTER_S)
        return case.verdict()
    finally:
        for task in callers:
            task.cancel()
        await fleet.end()


if __name__ == "__main__":
    sys.exit(run(HERE, play))
