"""Checks that an answer's label tells the truth about its rows."""

from limpethollow import SearchAnswer

TRUE = "true"
MISLABELLED = "mislabelled"
MIXED = "mixed"


def label_of(answer: SearchAnswer) -> str:
    """Return `mixed` for rows of several snapshots, `mislabelled` for any other untrue label."""
    snapshots = {(row["epoch"], row["version"]) for part in answer.parts for row in part.rows}
    if len(snapshots) > 1:
        return MIXED
    return TRUE if _tells_truth(answer, snapshots) else MISLABELLED


def _tells_truth(answer: SearchAnswer, snapshots: set[tuple[int, int]]) -> bool:
    coverage = answer.coverage
    answered = [part.shard for part in answer.parts if part.rows]
    missing = [shard.shard for shard in coverage.missing]
    rows_belong = all(row["shard"] == part.shard for part in answer.parts for row in part.rows)
    return (
        rows_belong
        and sorted(answered) == sorted(coverage.covered)
        and sorted(answered + missing) == list(range(coverage.wanted))
        and (not answered or snapshots == {(coverage.epoch, coverage.version)})
    )
