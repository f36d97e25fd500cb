"""The switches that make limpethollow its own simplest baseline."""

from random import Random

import pytest

from limpethollow_policy.process.choices import Candidate, find_replica_choice
from limpethollow_policy.process.dispatches import find_dispatch_policy
from limpethollow_policy.version.policy_checks import check_policies
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.services import AdmissionPolicy, SearcherSpec, ServiceSpec

INSTANCES = [InstanceInfo(f"i{n}", f"domain-{n}", f"host:{n}", f"host:1{n}") for n in range(4)]


def spec(**fields):
    return ServiceSpec("finder", 1, (SearcherSpec("s0", "host:1", (0,)),), **fields)


class TestDispatch:
    def test_owner_dispatch_asks_the_same_instance_wherever_a_search_arrives(self):
        order = find_dispatch_policy("owner")
        first = {order("finder/0", instance.id, INSTANCES)[0] for instance in INSTANCES}
        assert len(first) == 1

    def test_direct_dispatch_stays_where_the_search_arrived(self):
        order = find_dispatch_policy("direct")
        assert [order("finder/0", i.id, INSTANCES) for i in INSTANCES] == [
            [i.id] for i in INSTANCES
        ]


class TestReplicaChoice:
    def test_random_choice_ignores_the_evidence(self):
        score, rng = find_replica_choice("random"), Random(7)
        good, bad = Candidate(9, 9, 0.0), Candidate(0, 1, 9.0, straggles=True, may_wait=True)
        wins = sum(score(good, rng) > score(bad, rng) for _ in range(1000))
        assert 400 < wins < 600


class TestCheckPolicies:
    @pytest.mark.parametrize(
        "fields",
        [
            {"admission": AdmissionPolicy(policy="lottery")},
            {"replica_choice": "lottery"},
            {"dispatch": "lottery"},
        ],
    )
    def test_name_that_is_not_registered_is_refused(self, fields):
        with pytest.raises(BadRequest, match="lottery"):
            check_policies(spec(**fields))

    def test_defaults_are_registered(self):
        check_policies(spec())
