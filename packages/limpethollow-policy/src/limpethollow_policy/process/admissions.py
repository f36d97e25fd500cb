"""Admission policies: the order in which queued searches start, and which are evicted.

Importing this module registers all policies. `docs/ADMISSION.md` gives the measurements behind the
choice of the default.
"""

from limpethollow_policy.process import admissions_fifo as _fifo
from limpethollow_policy.process import admissions_usage as _usage
from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    AdmissionQueue,
    admission_policy,
    find_queue,
    policy_names,
)

REGISTERED_MODULES = (_fifo, _usage)

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "admission_policy",
    "find_queue",
    "make_queue",
    "policy_names",
]


def make_queue(name: str, limits: AdmissionLimits) -> AdmissionQueue:
    """Create the queue of the policy named in a configuration.

    Raises:
        BadRequest: No policy has this name.
    """
    return find_queue(name)(limits)
