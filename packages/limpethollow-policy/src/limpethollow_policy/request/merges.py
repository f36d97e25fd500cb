"""Merging of the answers of several groups, which must be from the same snapshot."""

from limpethollow_wire.exceptions import LimpethollowError, VersionGone
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part, ServableVersions

ShardsByGroup = dict[int, tuple[int, ...]]


def choose_common_version(
    wanted: ShardsByGroup, known: dict[int, ServableVersions], epoch: int
) -> tuple[int, frozenset[int]]:
    """Choose the index version of a search over several groups.

    The version that covers the most shards is chosen, the newest one on a tie. Groups that can't
    serve it are excluded, rather than asked for another version.

    Args:
        wanted: Shards requested from each group.
        known: Versions that each group that replied can serve.
        epoch: Partition epoch of the configuration that `wanted` was derived from.

    Returns:
        The version and the groups that can serve it.

    Raises:
        VersionGone: A group is at another partition epoch, or no group can serve any version.
    """
    if any(versions.epoch != epoch for versions in known.values()):
        raise VersionGone("The service was repartitioned while the search was running.")
    shards: dict[int, int] = {}
    for index, servable in known.items():
        for version in servable.versions:
            shards[version] = shards.get(version, 0) + len(wanted[index])
    if not shards:
        raise VersionGone("No group can serve any index version.")
    best = max(shards, key=lambda version: (shards[version], version))
    return best, frozenset(index for index, s in known.items() if best in s.versions)


def merge_answers(
    wanted: ShardsByGroup,
    answers: dict[int, GroupAnswer | LimpethollowError],
    absent: dict[int, str] | None = None,
) -> tuple[Coverage, tuple[Part, ...]]:
    """Merge group answers; shards of a failed group are reported missing with its error code.

    Args:
        wanted: Shards requested from each group.
        answers: Answer or error of each group.
        absent: For each group that was not asked, the reason.

    Raises:
        VersionGone: The groups answered from different snapshots; the search must be restarted.
    """
    succeeded = [answer for answer in answers.values() if isinstance(answer, GroupAnswer)]
    snapshots = {(a.coverage.epoch, a.coverage.version) for a in succeeded if a.parts}
    if len(snapshots) > 1:
        raise VersionGone("The groups answered from different snapshots.")
    epoch, version = snapshots.pop() if snapshots else (0, 0)
    missing = [shard for answer in succeeded for shard in answer.coverage.missing]
    reasons = {i: a.code for i, a in answers.items() if isinstance(a, LimpethollowError)}
    for index, reason in {**(absent or {}), **reasons}.items():
        missing += [MissingShard(shard, reason) for shard in wanted[index]]
    parts = sorted((part for answer in succeeded for part in answer.parts), key=lambda p: p.shard)
    coverage = Coverage(
        epoch=epoch,
        version=version,
        wanted=sum(len(shards) for shards in wanted.values()),
        covered=tuple(part.shard for part in parts),
        missing=tuple(sorted(missing, key=lambda m: m.shard)),
    )
    return coverage, tuple(parts)
