"""Buffer for the actions that result from one event."""

from limpethollow_policy.request.events import Action, Count


class Outbox:
    """Collects actions in order until the event that caused them has been processed."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append one action."""
        self._actions.append(action)

    def count(self, name: str, reason: str = "") -> None:
        """Append an action that increments a counter."""
        self._actions.append(Count(name, reason))

    def drain(self) -> list[Action]:
        """Return all actions and clear the buffer."""
        actions, self._actions = self._actions, []
        return actions
