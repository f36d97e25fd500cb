"""Objects of another writer that can't be read, in lists of the platform's object API."""

import json
import threading
import tracemalloc
from random import Random
from typing import Any

import pytest

from limpethollow_node.process import configs, members
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import ObjectList, PlatformClient
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.instances import InstanceInfo, InstanceList
from limpethollow_wire.settings import PlatformSettings

DEEP = b"[" * 100_000 + b"]" * 100_000
GOOD = {"kind": "service", "name": "good", "version": 5, "value": {}}
ODD = [
    b'{"kind": "service", "name": "odd", "version": 5, "value": {"spec": %b}}' % DEEP,
    b'{"kind": "service", "name": "odd", "version": 5, "value": {"spec": NaN}}',
    b'{"kind": "service", "name": "odd", "version": 5, "value": {"spec": "\\ud800"}}',
    b'{"kind": "service", "name": "odd", "version": 5, "value": 7}',
    b'{"kind": "service", "name": "odd", "version": %b, "value": {}}' % (b"9" * 400),
    b'{"kind": "service", "name": "odd", "version": 5, "era": 20000, "value": {}}',
    b'{"kind": "service", "name": 7, "version": 5, "value": {}}',
    DEEP,
    b"null",
]
ODD_INSTANCES = [
    b'{"id": "odd", "failure_domain": "d", "address": "h:1", "peer_address": "h:65536"}',
    b'{"id": "odd", "failure_domain": "d", "address": "h:1", "peer_address": 7}',
    b'{"id": "odd", "failure_domain": %b, "address": "h:1", "peer_address": "h:1"}' % DEEP,
    b'{"id": "odd", "state": "\\ud800"}',
    DEEP,
]
INSTANCE = InstanceInfo("good", "d", "h:1", "h:2")


def client(answer: bytes) -> PlatformClient:
    made = PlatformClient(PlatformSettings("127.0.0.1:1"), Metrics())

    def send(*arguments) -> int:
        arguments[-1].add(answer)
        return 200

    made._send_request = send
    return made


class TestLists:
    """Guards against a configuration that stays out of force for one odd object."""

    @pytest.mark.parametrize("odd", ODD)
    def test_the_other_objects_are_read(self, odd):
        answer = b'{"revision": 9, "objects": [%b, %b]}' % (odd, json.dumps(GOOD).encode())
        for found in (client(answer).list("service"), client(answer).watch("service", 3)):
            assert found.revision == 9
            assert [stored.name for stored in found.objects] == ["good"]

    @pytest.mark.parametrize("odd", ODD_INSTANCES)
    def test_the_other_instances_and_searchers_are_read(self, odd):
        good = json.dumps({"id": "good", **{f: getattr(INSTANCE, f) for f in FIELDS}}).encode()
        answer = b'{"revision": 9, "instances": [%b, %b], "searchers": [%b, {"address": "h:1"}]}'
        found = client(answer % (odd, good, DEEP)).instances(3)
        assert (found.revision, found.instances) == (9, (INSTANCE,))
        assert [searcher.address for searcher in found.searchers] == ["h:1"]

    @pytest.mark.parametrize("answer", [b"", DEEP, b'{"objects": []}', b'{"revision": 9}'])
    def test_what_is_no_list_is_no_answer(self, answer):
        with pytest.raises(Unavailable):
            client(answer).list("service")
        with pytest.raises(Unavailable):
            client(answer).read("service", "good")


class TestMemory:
    """Guards against the memory of objects that nobody needs, which another writer wrote."""

    def test_a_list_takes_little_more_than_its_text(self):
        rows = b"[" + b",".join([b"{}"] * 330_000) + b"]"
        odd = b'{"kind": "service", "name": "odd", "version": 5, "value": {"rows": %b}}' % rows
        objects = b", ".join([*[odd] * 10, json.dumps(GOOD).encode()])
        answer = b'{"revision": 9, "objects": [%b]}' % objects
        tracemalloc.start()
        try:
            listed = client(answer).list("service")
            records = [configs.decode_record(stored) for stored in listed.objects]
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert {record.name for record in records} == {"odd", "good"}
        assert peak < 2 * len(answer)


FIELDS = ("failure_domain", "address", "peer_address")


class FailingPlatform:
    """Raises an unexpected error in the first call, and then answers."""

    def __init__(self) -> None:
        self.calls = 0
        self.answered = threading.Event()

    def list(self, kind: str) -> ObjectList:
        return self._answer(ObjectList(9, ()))

    def instances(self, after: int) -> InstanceList:
        return self._answer(InstanceList(9, (INSTANCE,)))

    def watch(self, kind: str, after: int) -> ObjectList:
        return self._answer(ObjectList(9, ()))

    def _answer(self, answer: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise RecursionError("nested too deeply")
        self.answered.set()
        threading.Event().wait(0.05)
        return answer


class TestThreads:
    """Guards against an instance that no longer learns of changes, without any sign of it."""

    def test_the_configuration_is_still_read(self, monkeypatch):
        monkeypatch.setattr(configs, "_MAX_BACKOFF", 0.1)
        platform = FailingPlatform()
        tracker = MembershipTracker("own", "d", platform, Random(1))
        with ConfigManager(platform, tracker, Metrics(), Random(1)):
            assert platform.answered.wait(10.0)

    def test_instances_are_still_read(self, monkeypatch):
        monkeypatch.setattr(members, "_MAX_BACKOFF_SECONDS", 0.1)
        platform = FailingPlatform()
        with MembershipTracker("own", "d", platform, Random(1)):
            assert platform.answered.wait(10.0)
