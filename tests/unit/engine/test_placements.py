"""Which instances callers are told of."""

from limpethollow_policy.process.placements import MOST_ENTRIES, Instance, entries_for


def instance(name: str, domain: str = "a", strength: float = 1.0) -> Instance:
    return Instance(name, f"{name}:80", f"{name}:81", domain, strength)


class TestEntries:
    ALL = [instance("a1"), instance("a2"), instance("b1", "b"), instance("c1", "c")]

    def names(self, *arguments) -> list[str]:
        return [chosen.name for chosen in entries_for(*arguments)]

    def test_failure_domains_with_searchers_come_alone(self):
        assert self.names(self.ALL, "c", {"a": 2, "b": 2}, self.ALL) == ["a1", "a2", "b1"]

    def test_without_searchers_all_live_instances_are_named(self):
        assert self.names(self.ALL, "b", {}, self.ALL) == ["b1", "a1", "a2", "c1"]

    def test_the_choice_widens_when_most_of_the_near_ones_are_gone(self):
        live = [self.ALL[0], self.ALL[3]]
        assert self.names(live, "a", {"a": 1, "b": 1}, self.ALL) == ["a1", "c1"]

    def test_weak_instances_are_left_out_while_strong_ones_live(self):
        weak = instance("w", strength=0.3)
        assert self.names([*self.ALL, weak], "a", {}, self.ALL)[-1] != "w"
        assert self.names([weak], "a", {}, [weak]) == ["w"]

    def test_no_more_are_named_than_callers_take(self):
        many = [instance(f"i{number}") for number in range(100)]
        assert len(entries_for(many, "a", {}, many)) == MOST_ENTRIES
