"""Merging the answers of several groups into one, without ever mixing snapshots."""

from limpethollow_wire.exceptions import LimpethollowError, VersionGone
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part


def merge_answers(
    wanted: dict[int, tuple[int, ...]], answers: dict[int, GroupAnswer | LimpethollowError]
) -> tuple[Coverage, tuple[Part, ...]]:
    """Merge group answers; shards of a group that failed are missing under its error's code.

    Args:
        wanted: Shards asked of each group.
        answers: Answer or error of each group.

    Raises:
        VersionGone: Two groups answered from different snapshots; the search must start over.
    """
    good = [answer for answer in answers.values() if isinstance(answer, GroupAnswer)]
    snapshots = {(a.coverage.epoch, a.coverage.version) for a in good if a.parts}
    if len(snapshots) > 1:
        raise VersionGone("The groups answered from different snapshots.")
    epoch, version = snapshots.pop() if snapshots else (0, 0)
    missing = [shard for answer in good for shard in answer.coverage.missing]
    for index, answer in answers.items():
        if isinstance(answer, LimpethollowError):
            missing += [MissingShard(shard, answer.code) for shard in wanted[index]]
    parts = sorted((part for answer in good for part in answer.parts), key=lambda p: p.shard)
    coverage = Coverage(
        epoch=epoch,
        version=version,
        wanted=sum(len(shards) for shards in wanted.values()),
        covered=tuple(part.shard for part in parts),
        missing=tuple(sorted(missing, key=lambda m: m.shard)),
    )
    return coverage, tuple(parts)
