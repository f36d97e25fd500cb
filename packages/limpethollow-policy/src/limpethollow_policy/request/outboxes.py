"""The actions that one event leads to, in order."""

from limpethollow_policy.request.events import Action, Count


class Outbox:
    """Collects actions until the event that caused them is worked off."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append one action."""
        self._actions.append(action)

    def count(self, name: str, reason: str = "") -> None:
        """Have a counter raised."""
        self._actions.append(Count(name, reason))

    def drain(self) -> list[Action]:
        """Return all actions and forget them."""
        actions, self._actions = self._actions, []
        return actions
