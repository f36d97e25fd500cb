"""The operators' side of the client: plans, confirms, views."""

from typing import Any

import msgspec

from limpethollow.adapters import Adapter, HttpAdapter
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.plans import Confirmation, ConfirmRequest, Intent, Plan
from limpethollow_wire.services import ServiceRecord

_WAIT_SECONDS = 7.0
_GRACE_SECONDS = 10.0


class Operator:
    """Talks to one instance's operator listener.

    Usage:
        >>> with Operator("10.0.0.7:8081", key="...") as operator:
        ...     plan = operator.plan(intent)
        ...     operator.confirm(plan.id)

    Args:
        address: `host:port` of the operator listener.
        key: The operators' key.
        adapter: Transport; HTTP where left out.
    """

    def __init__(self, address: str, key: str, *, adapter: Adapter | None = None) -> None:
        self._address = address
        self._key = key
        self._adapter = adapter or HttpAdapter()

    def __enter__(self) -> "Operator":
        return self

    def __exit__(self, *_: object) -> None:
        self._adapter.close()

    def plan(self, intent: Intent) -> Plan:
        """Ask for a plan; nothing changes."""
        return self._send("POST", "/v1/plans", Plan, intent)

    def plan_evacuation(self, service: str, failure_domain: str, *, evacuated: bool) -> Plan:
        """Ask for a plan that evacuates a failure domain for a service, or restores it.

        Args:
            service: The service.
            failure_domain: The failure domain.
            evacuated: Whether its searchers shall get no new work.

        Raises:
            UnknownService: There is no such service.
            BadRequest: None of its searchers runs in this failure domain.
        """
        record = self._send("GET", f"/v1/services/{service}", ServiceRecord)
        others = [domain for domain in record.spec.evacuated if domain != failure_domain]
        wanted = [*others, failure_domain] if evacuated else others
        spec = msgspec.structs.replace(record.spec, evacuated=tuple(sorted(wanted)))
        return self.plan(Intent(service=spec))

    def confirm(self, plan_id: str, wait: float = _WAIT_SECONDS) -> Confirmation:
        """Carry a plan out and wait for it to be in force everywhere.

        Raises:
            Conflict: The service was changed since; nothing was changed.
        """
        path = f"/v1/plans/{plan_id}/confirm"
        return self._send("POST", path, Confirmation, ConfirmRequest(wait), wait)

    def services(self) -> dict[str, Any]:
        """Return all services in force."""
        return self._send("GET", "/v1/services", dict[str, Any])

    def instances(self) -> dict[str, Any]:
        """Return all instances as the asked one sees them."""
        return self._send("GET", "/v1/instances", dict[str, Any])

    def status(self) -> InstanceStatus:
        """Return what the asked instance says of itself."""
        return self._send("GET", "/v1/status", InstanceStatus)

    def metrics(self) -> str:
        """Return the asked instance's metrics as text."""
        return self._send("GET", "/metrics", str)

    def _send(
        self, method: str, path: str, reply: Any, body: Any = None, patience: float = 0.0
    ) -> Any:
        timeout = patience + _GRACE_SECONDS
        return self._adapter.send(
            self._address, method, path, self._key, reply, body, timeout=timeout
        )
