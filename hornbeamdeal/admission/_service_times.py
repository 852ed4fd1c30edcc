"""Service times learned from answered requests."""

MIN_GAIN = 0.05  # weight of the newest sample once the mean has settled


class RunningMean:
    """Mean that starts as a plain average and then forgets exponentially."""

    __slots__ = ("count", "min_gain", "value")

    def __init__(self, initial: float, min_gain: float = MIN_GAIN):
        self.value = initial
        self.min_gain = min_gain
        self.count = 0

    def record(self, sample: float) -> None:
        """Add one sample."""
        self.count += 1
        gain = max(1 / self.count, self.min_gain)
        self.value += (sample - self.value) * gain


class ServiceTimes:
    """Mean service time in seconds of each work class of a service."""

    __slots__ = ("_mean_by_class", "initial", "long_ratio")

    def __init__(self, initial: float, long_ratio: float):
        self.initial = initial
        self.long_ratio = long_ratio
        self._mean_by_class: dict[str, RunningMean] = {}

    def record(self, work_class: str, seconds: float) -> None:
        """Add the duration of one request."""
        if work_class not in self._mean_by_class:
            self._mean_by_class[work_class] = RunningMean(self.initial)
        self._mean_by_class[work_class].record(seconds)

    def mean(self, work_class: str) -> float:
        """Return the class's mean, or the initial guess without samples."""
        mean = self._mean_by_class.get(work_class)
        return mean.value if mean else self.initial

    def is_long_class(self, work_class: str) -> bool:
        """Tell whether the class runs far longer than the fastest one."""
        if work_class not in self._mean_by_class:
            return False
        fastest = min(mean.value for mean in self._mean_by_class.values())
        return self.mean(work_class) > self.long_ratio * fastest

    def is_overrun(self, work_class: str, seconds: float) -> bool:
        """Tell whether a request already runs far longer than its class."""
        return seconds > self.long_ratio * self.mean(work_class)
