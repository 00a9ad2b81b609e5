"""Measures the CPU time and the memory that a call uses."""

import gc
import time
import tracemalloc
from collections.abc import Callable


def cpu_seconds(call: Callable[[], object], repeats: int = 3) -> float:
    """Return the least CPU time of `repeats` calls, in seconds."""
    least = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        call()
        least = min(least, time.process_time() - started)
    return least


def retained_bytes(build: Callable[[], object]) -> int:
    """Return the number of bytes that the result of `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return after - before
