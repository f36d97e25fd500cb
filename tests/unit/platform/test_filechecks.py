"""Mistakes in the platform's files, told by file, key and remedy."""

import json

import pytest

from limpethollow.main import main
from limpethollow_node.platform.filechecks import check_file
from limpethollow_wire.exceptions import SettingsError
from tests.support.processes import ROOT

ROLE = 'build = "true"\n[roles.one]\nrun = "python3 x.py"\non = "front"\nserves = ["directory"]\n'


class TestDeployFile:
    def test_the_projects_own_is_right(self):
        assert check_file(ROOT / "deploy" / "system.toml") == "roles instance"

    @pytest.mark.parametrize(
        "text, words",
        [
            (ROLE, ["roles.one", "one of `share` and `count`"]),
            (ROLE + "share = 1.5", ["roles.one.share", "at most 1"]),
            (ROLE + "count = 0", ["roles.one.count", "1 or more"]),
            (ROLE + 'share = 1.0\nmetrics = "7395"', ["roles.one.metrics", "PORT/PATH"]),
            (ROLE + 'share = 1.0\ntemplate = "no.tmpl"', ["roles.one.template", "no.tmpl"]),
            (ROLE + "share = 1.0\ncounts = 1", ["counts"]),
            (ROLE.replace("directory", "front") + "share = 1.0", ["No role serves `directory`"]),
            (ROLE.replace("directory", "doors") + "share = 1.0", ["roles.one.serves", "doors"]),
            (
                ROLE + 'share = 1.0\n[roles.two]\nrun = "x"\non = "front"\ncount = 1\n'
                'serves = ["directory"]',
                ["Two roles on `front`"],
            ),
            ("build = ", ["not valid TOML"]),
        ],
    )
    def test_a_mistake_is_named(self, tmp_path, text, words):
        path = tmp_path / "deploy" / "system.toml"
        path.parent.mkdir()
        path.write_text(text)
        with pytest.raises(SettingsError) as caught:
            check_file(path)
        for word in [str(path), *words]:
            assert word in str(caught.value)


class TestCommand:
    def test_it_checks_the_platforms_files_too(self, tmp_path, capsys):
        assert main(["check-config", str(ROOT / "deploy" / "system.toml")]) == 0
        settings = tmp_path / "node.json"
        settings.write_text(json.dumps({"nodeName": 5}))
        assert main(["check-config", str(settings)]) == 2
        assert "nodeName" in capsys.readouterr().err
