"""Estimates how long a search will wait and when a refused caller should retry."""

from limpethollow_policy.process.admissions import AdmissionLimits, AdmissionQueue, make_queue
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_wire.services import ServiceSpec

_MIN_RETRY_AFTER = 0.05


class WaitEstimate:
    """Estimates waiting times from the queue and the ends of the searchers' pauses.

    Args:
        replicas: The group's searchers.
        queue: The queue of waiting searches.
    """

    __slots__ = ("_replicas", "queue")

    def __init__(self, replicas: ReplicaSet, queue: AdmissionQueue) -> None:
        self._replicas = replicas
        self.queue = queue

    def estimate(self, firm: str, now: float) -> float:
        """Return the expected wait in seconds of a firm's search that arrives now."""
        return self.queue.wait(firm, now)

    def retry_after(self, now: float, firm: str = "") -> float:
        """Return the seconds after which a caller should retry."""
        paused = [s.down_until - now for s in self._replicas if s.down_until > now]
        back = min(paused, default=0.0)
        return max(self.estimate(firm, now), back, _MIN_RETRY_AFTER)


def make_admission_queue(spec: ServiceSpec) -> AdmissionQueue:
    """Return an empty queue for a service."""
    shares = {caller.firm: caller.share for caller in spec.callers}
    limits = AdmissionLimits(spec.admission.max_queue, shares)
    return make_queue(spec.admission.policy, limits)
