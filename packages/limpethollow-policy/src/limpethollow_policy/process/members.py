"""Which instances are there: the platform's lagging list joined with own evidence."""

from limpethollow_wire.instances import InstanceInfo

_UNREACHABLE_SECONDS = 2.0


class Membership:
    """Joins the platform's list with what links to peers show.

    Nothing here needs two instances to agree; a wrong view costs a forward or a shed call.

    Args:
        own_id: Id of this instance.
    """

    __slots__ = ("_incarnations", "_instances", "_leaving", "_own_id", "_unreachable_until")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._instances: dict[str, InstanceInfo] = {}
        self._leaving: set[str] = set()
        self._unreachable_until: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}

    def listed(self, instances: tuple[InstanceInfo, ...]) -> None:
        """Take in the platform's list."""
        self._instances = {instance.id: instance for instance in instances}
        self._leaving &= self._instances.keys()

    def heard(self, instance_id: str, incarnation: str, leaving: bool) -> None:
        """Take in a word from the instance itself; it counts more than the list."""
        self._incarnations[instance_id] = incarnation
        self._unreachable_until.pop(instance_id, None)
        if leaving:
            self._leaving.add(instance_id)
        else:
            self._leaving.discard(instance_id)

    def unreachable(self, instance_id: str, now: float) -> None:
        """Note that a link to the instance failed."""
        self._unreachable_until[instance_id] = now + _UNREACHABLE_SECONDS
        self._incarnations.pop(instance_id, None)

    def incarnation(self, instance_id: str) -> str:
        """Return the run that an instance last named, empty where not known."""
        return self._incarnations.get(instance_id, "")

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return an instance as listed."""
        return self._instances.get(instance_id)

    def state(self, instance_id: str, now: float) -> str:
        """Return `live`, `leaving` or `unreachable`."""
        listed = self._instances.get(instance_id)
        if instance_id in self._leaving or (listed is not None and listed.state == "leaving"):
            return "leaving"
        if now < self._unreachable_until.get(instance_id, 0.0):
            return "unreachable"
        return "live"

    def everyone(self) -> tuple[InstanceInfo, ...]:
        """Return all listed instances."""
        return tuple(self._instances.values())

    def peers(self) -> tuple[InstanceInfo, ...]:
        """Return all listed instances but this one."""
        return tuple(i for i in self._instances.values() if i.id != self._own_id)

    def routable(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return the instances that callers may be sent to."""
        return tuple(i for i in self._instances.values() if self.state(i.id, now) == "live")
