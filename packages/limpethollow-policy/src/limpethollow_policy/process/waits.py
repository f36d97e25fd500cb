"""How long a search is expected to wait, and how long a refused caller should stay away."""

from limpethollow_policy.process.admissions import AdmissionLimits, AdmissionQueue, make_queue
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_wire.services import ServiceSpec

_SMALLEST_RETRY_AFTER = 0.05


class WaitEstimate:
    """Estimates waits from what the queue says and when paused searchers come back.

    Args:
        replicas: The group's searchers.
        queue: The searches that wait.
    """

    __slots__ = ("_replicas", "queue")

    def __init__(self, replicas: ReplicaSet, queue: AdmissionQueue) -> None:
        self._replicas = replicas
        self.queue = queue

    def estimate(self, firm: str, now: float) -> float:
        """Return the seconds that a search of a firm arriving now is expected to wait."""
        return self.queue.wait(firm, now)

    def retry_after(self, now: float, firm: str = "") -> float:
        """Return the seconds after which another try makes sense."""
        paused = [s.down_until - now for s in self._replicas if s.down_until > now]
        back = min(paused, default=0.0)
        return max(self.estimate(firm, now), back, _SMALLEST_RETRY_AFTER)


def queue_for(spec: ServiceSpec) -> AdmissionQueue:
    """Return an empty queue for a service."""
    shares = {caller.firm: caller.share for caller in spec.callers}
    limits = AdmissionLimits(spec.admission.max_queue, shares)
    return make_queue(spec.admission.policy, limits)
