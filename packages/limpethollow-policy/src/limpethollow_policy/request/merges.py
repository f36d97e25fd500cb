"""One answer out of several groups' parts, without ever mixing snapshots."""

from limpethollow_wire.exceptions import LimpethollowError, VersionGone
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part, ServableVersions

Wanted = dict[int, tuple[int, ...]]


def choose_across(
    wanted: Wanted, known: dict[int, ServableVersions], epoch: int
) -> tuple[int, frozenset[int]]:
    """Choose the index version of a search over several groups.

    The version that covers most shards wins, the newest on a tie. A group that can't serve it is
    left out rather than asked for another version.

    Args:
        wanted: Shards asked of each group.
        known: What each group that answered can serve.
        epoch: Partition epoch of the configuration that `wanted` was made from.

    Returns:
        The version and the groups that can serve it.

    Raises:
        VersionGone: A group is at another partition epoch, or none can serve any version.
    """
    if any(versions.epoch != epoch for versions in known.values()):
        raise VersionGone("The service was partitioned anew while the search ran.")
    shards: dict[int, int] = {}
    for index, servable in known.items():
        for version in servable.versions:
            shards[version] = shards.get(version, 0) + len(wanted[index])
    if not shards:
        raise VersionGone("No group can serve any version.")
    best = max(shards, key=lambda version: (shards[version], version))
    return best, frozenset(index for index, s in known.items() if best in s.versions)


def merge_answers(
    wanted: Wanted,
    answers: dict[int, GroupAnswer | LimpethollowError],
    absent: dict[int, str] | None = None,
) -> tuple[Coverage, tuple[Part, ...]]:
    """Merge group answers; shards of a group that failed are missing under its error's code.

    Args:
        wanted: Shards asked of each group.
        answers: Answer or error of each group.
        absent: Why a group was not asked, by group.

    Raises:
        VersionGone: Two groups answered from different snapshots; the search must start over.
    """
    good = [answer for answer in answers.values() if isinstance(answer, GroupAnswer)]
    snapshots = {(a.coverage.epoch, a.coverage.version) for a in good if a.parts}
    if len(snapshots) > 1:
        raise VersionGone("The groups answered from different snapshots.")
    epoch, version = snapshots.pop() if snapshots else (0, 0)
    missing = [shard for answer in good for shard in answer.coverage.missing]
    reasons = {i: a.code for i, a in answers.items() if isinstance(a, LimpethollowError)}
    for index, reason in {**(absent or {}), **reasons}.items():
        missing += [MissingShard(shard, reason) for shard in wanted[index]]
    parts = sorted((part for answer in good for part in answer.parts), key=lambda p: p.shard)
    coverage = Coverage(
        epoch=epoch,
        version=version,
        wanted=sum(len(shards) for shards in wanted.values()),
        covered=tuple(part.shard for part in parts),
        missing=tuple(sorted(missing, key=lambda m: m.shard)),
    )
    return coverage, tuple(parts)
