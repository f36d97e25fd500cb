"""Validation of the policy names in a service's configuration."""

from limpethollow_policy.process.admissions import find_queue
from limpethollow_policy.process.choices import find_replica_choice
from limpethollow_policy.process.dispatches import find_dispatch_policy
from limpethollow_wire.services import ServiceSpec


def check_policies(spec: ServiceSpec) -> None:
    """Check that every policy named by a service is registered.

    Raises:
        BadRequest: A name is not registered; the message lists the registered ones.
    """
    find_queue(spec.admission.policy)
    find_replica_choice(spec.replica_choice)
    find_dispatch_policy(spec.dispatch)
