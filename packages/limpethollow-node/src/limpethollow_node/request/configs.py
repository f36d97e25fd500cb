"""What an instance answers to peers that compare or bring configuration."""

from typing import Any

from limpethollow_node.request.peers import PeerContext, peer_request
from limpethollow_wire.peers import (
    Acknowledgement,
    BucketHashes,
    InstanceListRequest,
    InstanceListUpdate,
    ServiceNames,
    ServiceRecords,
    SpreadRequest,
    SyncState,
    VersionDigest,
)


@peer_request("config.push", ServiceRecords)
def _push(context: PeerContext, body: ServiceRecords) -> Any:
    return Acknowledgement(len(context.configs.merge(body.records)))


@peer_request("sync.compare", SyncState)
def _compare(context: PeerContext, body: SyncState) -> Any:
    return context.sync.handle_comparison(body)


@peer_request("sync.digest", BucketHashes)
def _digest(context: PeerContext, body: BucketHashes) -> Any:
    return context.configs.digest_of_differing(body.hashes)


@peer_request("sync.fetch", ServiceNames)
def _fetch(context: PeerContext, body: ServiceNames) -> Any:
    return ServiceRecords(context.configs.named(body.names))


@peer_request("sync.offer", VersionDigest)
def _offer(context: PeerContext, body: VersionDigest) -> Any:
    return context.sync.handle_offer(body)


@peer_request("members.pull", InstanceListRequest)
def _pull_members(context: PeerContext, body: InstanceListRequest) -> Any:
    return context.members.changes_since(body.revision)


@peer_request("members.push", InstanceListUpdate)
def _push_members(context: PeerContext, body: InstanceListUpdate) -> Any:
    context.members.listed(body)
    return Acknowledgement()


@peer_request("relay.spread", SpreadRequest)
def _spread(context: PeerContext, body: SpreadRequest) -> Any:
    return context.sync.spread_in_domain(body.record)
