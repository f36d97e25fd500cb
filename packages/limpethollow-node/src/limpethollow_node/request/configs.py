"""What an instance answers to peers that compare or bring configuration."""

from typing import Any

from limpethollow_node.request.peers import PeerContext, peer_request
from limpethollow_wire.peers import (
    Acknowledgement,
    Buckets,
    Digest,
    ListChange,
    ListQuestion,
    Names,
    Records,
    SpreadRequest,
    SyncState,
)


@peer_request("config.push", Records)
def _push(context: PeerContext, body: Records) -> Any:
    return Acknowledgement(len(context.configs.merge(body.records)))


@peer_request("sync.compare", SyncState)
def _compare(context: PeerContext, body: SyncState) -> Any:
    return context.sync.compared(body)


@peer_request("sync.digest", Buckets)
def _digest(context: PeerContext, body: Buckets) -> Any:
    return context.configs.digest_for(body.hashes)


@peer_request("sync.fetch", Names)
def _fetch(context: PeerContext, body: Names) -> Any:
    return Records(context.configs.named(body.names))


@peer_request("sync.offer", Digest)
def _offer(context: PeerContext, body: Digest) -> Any:
    return context.sync.offered(body)


@peer_request("members.pull", ListQuestion)
def _pull_members(context: PeerContext, body: ListQuestion) -> Any:
    return context.members.changes_since(body.revision)


@peer_request("members.push", ListChange)
def _push_members(context: PeerContext, body: ListChange) -> Any:
    context.members.listed(body)
    return Acknowledgement()


@peer_request("relay.spread", SpreadRequest)
def _spread(context: PeerContext, body: SpreadRequest) -> Any:
    return context.sync.spread_here(body.record)
