"""Statistics and process measurements shared by the benchmarks."""

from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import statistics
import time

PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def percentile(values: Sequence[float], quantile: float) -> float:
    """Returns the value at a quantile, which is between 0 and 1."""
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(quantile * len(ordered)))
    return ordered[position]


def format_spread(values: Sequence[float], digits: int = 2) -> str:
    """Formats the median, minimum and maximum of the values."""
    middle = statistics.median(values)
    low, high = min(values), max(values)
    return f"{middle:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def cpu_per_call(action: Callable[[], object], calls: int) -> float:
    """Returns the mean processor time of one call, in microseconds."""
    before = time.process_time()
    for _ in range(calls):
        action()
    return (time.process_time() - before) / calls * 1e6


def memory_mb(pid: int) -> tuple[float, float]:
    """Returns a process's resident and private memory, in MB."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    kb_by_field = {
        line.split(":")[0]: int(line.split()[1])
        for line in text.splitlines()[1:]
        if line.endswith("kB")
    }
    private = kb_by_field["Private_Clean"] + kb_by_field["Private_Dirty"]
    return kb_by_field["Rss"] / 1024, private / 1024


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
