"""How long a search is expected to wait, and how long a refused caller should stay away."""

from limpethollow_policy.process.admissions import AdmissionQueue
from limpethollow_policy.process.replicas import ReplicaSet

_FIRST_SERVICE_TIME = 0.005
_SMOOTHING = 0.1
_SMALLEST_RETRY_AFTER = 0.05


class WaitEstimate:
    """Estimates waits from the queue's length and the time that calls take.

    Args:
        replicas: The group's searchers.
        queue: The searches that wait.
    """

    __slots__ = ("_replicas", "_service_time", "queue")

    def __init__(self, replicas: ReplicaSet, queue: AdmissionQueue) -> None:
        self._replicas = replicas
        self._service_time = _FIRST_SERVICE_TIME
        self.queue = queue

    def call_answered(self, latency: float, queries: int) -> None:
        """Take in how long a call took, and how many queries it carried."""
        self._service_time += _SMOOTHING * (latency / queries - self._service_time)

    def estimate(self) -> float:
        """Return the seconds that a search arriving now is expected to wait."""
        slots = sum(searcher.slots for searcher in self._replicas)
        return len(self.queue) * self._service_time / max(slots, 1)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which another try makes sense."""
        paused = [s.down_until - now for s in self._replicas if s.down_until > now]
        return max(self.estimate(), min(paused, default=0.0), _SMALLEST_RETRY_AFTER)
