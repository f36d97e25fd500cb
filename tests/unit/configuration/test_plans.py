"""Whose write is it, and may this plan still be carried out."""

from random import Random

import pytest

from limpethollow_policy.version.plans import (
    MAX_KEPT_WRITES,
    PLAN_SLOTS,
    PlanName,
    StoredService,
    Verdict,
    intent_service_name,
    judge,
    make_plan,
    value_to_write,
)
from limpethollow_wire.exceptions import BadRequest, NotFound
from limpethollow_wire.plans import Intent
from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec


def spec(**fields) -> ServiceSpec:
    return ServiceSpec("club", 1, (SearcherSpec("s", "127.0.0.1:1", (0,)),), **fields)


_RNG = Random(1)


def plan(slot: int, current: ServiceRecord | None = None, **fields):
    name = PlanName.new("club", slot, _RNG)
    return make_plan(str(name), Intent(service=spec(**fields)), current)


class TestWriteIds:
    def test_an_own_write_is_known_after_others_wrote_on_top(self):
        """An operator's reply is lost and others write on top before the next try.

        With the last write id only, the operator would be told that nothing was changed.
        """
        first = plan(0)
        stored = StoredService(5, value_to_write(first, StoredService(0, {})))
        for number in range(1, MAX_KEPT_WRITES + 1):
            later = plan(number % PLAN_SLOTS, ServiceRecord("club", stored.version, spec()))
            stored = StoredService(stored.version + 1, value_to_write(later, stored))
            assert stored.version_of(first.id) == 5

    def test_the_earlier_writes_kept_are_bounded(self):
        stored = StoredService(1, {"write_id": "w", "earlier": [["x", n] for n in range(99)]})
        assert len(value_to_write(plan(0), stored)["earlier"]) == MAX_KEPT_WRITES

    def test_another_write_is_not_taken_for_ones_own(self):
        stored = StoredService(5, value_to_write(plan(0), StoredService(0, {})))
        assert stored.version_of(plan(1).id) == 0


class TestJudge:
    @pytest.mark.parametrize(
        ("base", "stored", "verdict"),
        [
            (0, 0, Verdict.WRITE),
            (4, 4, Verdict.WRITE),
            (4, 5, Verdict.STALE),
            (0, 1, Verdict.STALE),
        ],
    )
    def test_only_a_plan_on_the_stored_version_is_carried_out(self, base, stored, verdict):
        current = ServiceRecord("club", base, spec(route_ttl=9.0)) if base else None
        assert judge(plan(0, current), StoredService(stored, {})) is verdict

    def test_a_plan_without_a_difference_writes_nothing(self):
        assert judge(plan(0, ServiceRecord("club", 4, spec())), StoredService(4, {})) is (
            Verdict.NOTHING
        )

    def test_a_deleted_service_is_created_on_its_tombstone(self):
        made = plan(0, ServiceRecord("club", 7, None))
        assert (made.action, made.base_version) == ("create", 7)


class TestPlanName:
    def test_a_name_is_read_back(self):
        name = PlanName.new("club-1", 3, Random(1))
        assert PlanName.parse(str(name)) == name

    @pytest.mark.parametrize(
        "text", ["", "club", "club.1", "club.9." + "a" * 24, "../x.1." + "a" * 24, "club.1.zz"]
    )
    def test_anything_else_is_not_found(self, text):
        with pytest.raises(NotFound):
            PlanName.parse(text)

    @pytest.mark.parametrize("intent", [Intent(), Intent(delete="a/b"), Intent(delete="A")])
    def test_an_intent_must_name_a_service(self, intent):
        with pytest.raises(BadRequest):
            intent_service_name(intent)


def in_domain(domain: str, evacuated: str) -> ServiceSpec:
    searcher = SearcherSpec("s", "127.0.0.1:1", (0,), failure_domain=domain)
    return ServiceSpec("club", 1, (searcher,), evacuated=(evacuated,))


class TestEvacuations:
    def test_a_plan_says_what_it_touches_and_which_shards_nobody_serves(self):
        made = make_plan("p", Intent(service=in_domain("a", "a")), None)
        assert made.effect.shards == (0,)
        assert any("evacuated" in warning for warning in made.warnings)

    def test_a_domain_without_a_searcher_is_refused(self):
        """Guards against a mistyped failure domain that seems to be evacuated."""
        with pytest.raises(BadRequest, match="evacuated"):
            make_plan("p", Intent(service=in_domain("a", "b")), None)
