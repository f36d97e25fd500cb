"""Scratch copies of the repository with a mechanism switched off."""

import shutil
from pathlib import Path

from benchmarks.ablation.mechanisms import Edit, Mechanism

_ROOT = Path(__file__).resolve().parents[2]
_LEFT_OUT = shutil.ignore_patterns(".git", ".venv", "target", "journal", "__pycache__", "results")


class EditError(RuntimeError):
    """An edit doesn't fit the sources any more."""


def copy_without(mechanism: Mechanism | None, folder: Path) -> Path:
    """Copy the repository and switch a mechanism off.

    Args:
        mechanism: The mechanism; None for an unchanged copy.
        folder: Where the copy goes; an earlier copy there is replaced.

    Raises:
        EditError: An edit's text doesn't stand in its file exactly once.
    """
    if folder.exists():
        shutil.rmtree(folder)
    shutil.copytree(_ROOT, folder, ignore=_LEFT_OUT)
    for edit in mechanism.edits if mechanism is not None else ():
        path = folder / edit.path
        path.write_text(edited(path.read_text(), edit))
    return folder


def edited(text: str, edit: Edit) -> str:
    """Return a source text with an edit made.

    Raises:
        EditError: Its old text doesn't stand there exactly once.
    """
    if text.count(edit.old) != 1:
        raise EditError(f"{edit.path}: change the edit of {edit.old!r} to fit the sources.")
    return text.replace(edit.old, edit.new)
