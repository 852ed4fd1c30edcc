"""Measures CPU time and memory of a function call."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

# The minimum of several runs is least disturbed by other processes.
REPETITIONS = 3


def cpu_seconds(prepare: Callable[[], Any], work: Callable[[Any], Any]) -> float:
    """Return the minimum CPU time of several runs, each on newly prepared input."""
    return min(_run_once(prepare, work) for _ in range(REPETITIONS))


def _run_once(prepare: Callable[[], Any], work: Callable[[Any], Any]) -> float:
    prepared = prepare()
    gc.collect()
    started = time.process_time()
    work(prepared)
    return time.process_time() - started


def retained_bytes(build: Callable[[], Any]) -> int:
    """Return the memory in bytes that a call's result keeps allocated."""
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
