"""Which instances callers are told of where one hears few others, or none."""

from limpethollow_node.engine.frames import UnheardInstances
from limpethollow_node.engine.process.failuredetector import ALONE_SECONDS, FailureDetector
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import Instance

OWN, OTHER = (Instance(name, f"10.0.0.{n}:1", f"10.0.0.{n}:2", "a") for n, name in enumerate("ab"))


class TestAlone:
    def judged(self, *, ready: bool) -> list[set[str]]:
        """Return who is named at once, and after a while in which nobody was heard."""
        roster = Roster(OWN, lambda: None)
        roster.ready = ready
        roster.put(OTHER)
        judge = FailureDetector(roster, {})
        named = []
        for now in (100.0, 100.0 + ALONE_SECONDS + 0.5):
            judge.judge(frozenset(), [], now)
            named.append({instance.name for instance in roster.live})
        return named

    def test_one_that_serves_does_not_name_instances_that_it_never_hears(self):
        """Guards against callers that are sent to machines which left for good."""
        assert self.judged(ready=True) == [{"a", "b"}, {"a"}]

    def test_one_that_can_not_serve_goes_on_naming_the_others(self):
        """Guards against a machine that is cut off and names nobody to callers that reach it."""
        assert self.judged(ready=False) == [{"b"}, {"b"}]


class TestListedAgain:
    """The entry of an instance that had ended is back with an older copy of the store."""

    def judge(self, *relays: UnheardInstances, heard: frozenset[str] = frozenset()) -> list[bool]:
        """Return whether it is named at once and after a while, given what relays say then."""
        roster = Roster(OWN, lambda: None)
        roster.put(OTHER)
        roster.set_silent(OTHER.name, True, 90.0)
        roster.remove(OTHER.name)
        judge = FailureDetector(roster, {"relay": None})
        roster.put(OTHER)
        for number, silent in enumerate(relays):
            judge.take(f"relay-{number}", silent)
        named = []
        for now in (100.0, 104.0):
            judge.judge(heard, [], now)
            named.append(OTHER in roster.live)
        return named

    def test_it_is_not_named_before_the_relays_know_of_its_entry(self):
        """Guards against relays that don't miss it yet, as it was not on their lists."""
        assert self.judge(UnheardInstances([])) == [False, True]
        assert self.judge(UnheardInstances([OTHER.name])) == [False, False]

    def test_it_is_named_as_soon_as_it_is_heard(self):
        assert self.judge(UnheardInstances([OTHER.name]), heard=frozenset({OTHER.name})) == [
            True,
            True,
        ]
