"""Every mechanism can still be switched off."""

import ast
from pathlib import Path

import pytest

from benchmarks.ablation import mechanisms
from benchmarks.ablation.copies import EditError, edited
from benchmarks.ablation.mechanisms import Edit

ROOT = Path(__file__).resolve().parents[2]


class TestEdits:
    @pytest.mark.parametrize("name", mechanisms.names())
    def test_each_fits_the_sources_and_leaves_a_program(self, name):
        for edit in mechanisms.get(name).edits:
            ast.parse(edited((ROOT / edit.path).read_text(), edit))

    def test_text_that_stands_twice_is_refused(self):
        with pytest.raises(EditError):
            edited("a = 1\na = 1\n", Edit("x.py", "a = 1", "a = 2"))
