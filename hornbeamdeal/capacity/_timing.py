"""CPU time and memory of a piece of work."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

# The least of several runs has the least disturbance by other processes.
REPEATS = 3


def cpu_seconds(prepare: Callable[[], Any], work: Callable[[Any], Any]) -> float:
    """Return the least CPU time of some runs, each on freshly prepared input."""
    return min(_run_once(prepare, work) for _ in range(REPEATS))


def _run_once(prepare: Callable[[], Any], work: Callable[[Any], Any]) -> float:
    prepared = prepare()
    gc.collect()
    started = time.process_time()
    work(prepared)
    return time.process_time() - started


def held_bytes(build: Callable[[], Any]) -> int:
    """Return the memory that the result of a call holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = build()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
        del result
