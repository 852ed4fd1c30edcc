"""Mean service times of answered and timed-out requests."""

MINIMUM_SAMPLE_WEIGHT = 0.05  # weight of the newest sample in the long run


class RunningMean:
    """Plain average of the first samples, then an exponential moving average."""

    __slots__ = ("count", "min_weight", "value")

    def __init__(self, initial: float, min_weight: float = MINIMUM_SAMPLE_WEIGHT):
        self.value = initial
        self.min_weight = min_weight
        self.count = 0

    def record(self, sample: float) -> None:
        """Record one sample."""
        self.count += 1
        weight = max(1 / self.count, self.min_weight)
        self.value += (sample - self.value) * weight


class ServiceTimes:
    """Mean service time in seconds of each work class of a service."""

    __slots__ = ("_mean_by_class", "initial", "long_ratio")

    def __init__(self, initial: float, long_ratio: float):
        self.initial = initial
        self.long_ratio = long_ratio
        self._mean_by_class: dict[str, RunningMean] = {}

    def record(self, work_class: str, seconds: float) -> None:
        """Record the duration of one request."""
        if work_class not in self._mean_by_class:
            self._mean_by_class[work_class] = RunningMean(self.initial)
        self._mean_by_class[work_class].record(seconds)

    def mean(self, work_class: str) -> float:
        """Return the mean of the class, or the initial value without samples."""
        mean = self._mean_by_class.get(work_class)
        return mean.value if mean else self.initial

    def is_long_class(self, work_class: str) -> bool:
        """Return whether the class takes over `long_ratio` times the fastest one."""
        if work_class not in self._mean_by_class:
            return False
        fastest = min(mean.value for mean in self._mean_by_class.values())
        return self.mean(work_class) > self.long_ratio * fastest

    def is_overrun(self, work_class: str, seconds: float) -> bool:
        """Return whether the duration exceeds `long_ratio` times the class's mean."""
        return seconds > self.long_ratio * self.mean(work_class)
