"""What replies prove, and how shards' records are merged."""

import pytest

from limpethollow_policy.request.records import merge_records
from limpethollow_policy.request.verdicts import Verdict, classify_reply


def judge(status: int, **facts: bool) -> Verdict:
    usual = {"own_id": True, "proved": True, "not_run": False, "encoded": False}
    return classify_reply(status, **{**usual, **facts})


class TestVerdicts:
    @pytest.mark.parametrize(
        ("status", "facts", "expected"),
        [
            (200, {}, Verdict.ANSWERED),
            (204, {}, Verdict.ANSWERED),
            (200, {"proved": False}, Verdict.UNKNOWN),
            (200, {"encoded": True}, Verdict.UNKNOWN),
            (200, {"own_id": False}, Verdict.UNKNOWN),
            (500, {}, Verdict.FAILED),
            (504, {}, Verdict.FAILED),
            (500, {"proved": False}, Verdict.UNKNOWN),
            (503, {"proved": False, "not_run": True}, Verdict.NOT_RUN),
            (421, {"proved": False}, Verdict.NOT_RUN),
            (503, {"proved": False}, Verdict.UNKNOWN),
        ],
    )
    def test_each_reply_proves_just_this(self, status, facts, expected):
        assert judge(status, **facts) is expected

    def test_a_refusal_of_another_request_proves_nothing(self):
        """A booking was refused as "not run" and had been run.

        The searcher sent a second, late reply to an earlier request where the booking's was due;
        it said that the earlier one had not run.
        """
        assert judge(503, own_id=False, proved=False, not_run=True) is Verdict.UNKNOWN


class TestRecords:
    def test_the_greatest_records_of_all_parts_come_first(self):
        small, middle, great = (bytes([value]) * 16 for value in (1, 2, 3))
        assert merge_records([small + great, middle + great], 3) == great + great + middle

    def test_a_remainder_is_no_record(self):
        bodies = [b"\x01" * 16 + b"\xff" * 15, b"\x02" * 16]
        assert merge_records(bodies, 5) == b"\x02" * 16 + b"\x01" * 16

    def test_no_records_give_an_empty_body(self):
        assert merge_records([b"", b""], 5) == b""
