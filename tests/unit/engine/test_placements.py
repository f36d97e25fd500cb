"""Which instances callers are told of."""

from limpethollow_policy.process.placements import (
    MAX_CALLER_INSTANCES,
    Instance,
    instances_for_caller,
)


def instance(name: str, domain: str = "a", strength: float = 1.0) -> Instance:
    return Instance(name, f"{name}:80", f"{name}:81", domain, strength)


class TestEntries:
    ALL = [instance("a1"), instance("a2"), instance("b1", "b"), instance("c1", "c")]

    def names(self, *arguments) -> list[str]:
        return [chosen.name for chosen in instances_for_caller(*arguments)]

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
        many = [instance(f"i{number}") for number in range(400)]
        assert len(instances_for_caller(many, "a", {}, many)) == MAX_CALLER_INSTANCES

    def test_of_many_the_strongest_of_each_failure_domain_take_the_callers(self):
        """Searches asked searchers that were known to be slow elsewhere.

        Callers were spread over 65 instances, and each met a searcher too seldom to learn from it.
        """
        many = [instance(f"i{n:02}", "abcde"[n % 5], 1.0 + n / 100) for n in range(65)]
        named = instances_for_caller(many, "a", {}, many)
        assert sorted(i.name for i in named) == [f"i{n}" for n in range(45, 65)]
        without = [i for i in many if i.name != "i60"]
        assert {i.name for i in instances_for_caller(without, "a", {}, many)} >= {"i40", "i64"}

    def test_few_all_take_callers(self):
        few = [instance(f"i{n}", strength=1.0 + n / 100) for n in range(16)]
        assert len(instances_for_caller(few, "a", {}, few)) == 16
