"""Admission policies: in which order waiting searches get the searchers, and which must leave.

The registry of all policies. `docs/ADMISSION.md` gives the figures by which the default was chosen.
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
    """Make the queue that a configuration names.

    Raises:
        BadRequest: No policy has this name.
    """
    return find_queue(name)(limits)
