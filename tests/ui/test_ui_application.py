"""Tests of the command line's errors and exit statuses."""

import json

import pytest

from lacewingpond.ui import application


@pytest.fixture
def run_command(monkeypatch, capsys):
    def run(*words):
        monkeypatch.setattr("sys.argv", ["lacewingpond", *words])
        status = application.run()
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return run


def test_unknown_command_is_an_error_of_one_line(run_command):
    status, _, err = run_command("nonsense")
    assert status == 2
    assert err.startswith("lacewingpond: ")
    assert "Traceback" not in err


def test_check_reports_findings_and_exits_with_2(run_command, tmp_path):
    path = tmp_path / "s.toml"
    path.write_text("[vm]\nid = 1\n")
    status, out, _ = run_command("check", str(path), "--format", "json")
    assert status == 2
    assert any(f["place"].endswith("vm.id") for f in json.loads(out))


def test_unknown_format_is_refused(run_command):
    status, _, err = run_command("check", "s.toml", "--format", "xml")
    assert (status, "--format" in err) == (2, True)


def test_error_names_an_unknown_benchmark(run_command):
    status, _, err = run_command("bench", "nonsense")
    assert (status, "nonsense" in err) == (2, True)


def test_error_names_a_missing_trace(run_command):
    status, _, err = run_command("replay", "/nonexistent.jsonl")
    assert (status, "/nonexistent.jsonl" in err) == (2, True)


# A script took a configuration that can't be read for one without problems.
@pytest.mark.parametrize(
    ("content", "against", "expected"),
    [
        ('{"version": 1}', None, (0, [])),
        ('{"version": 2}', '{"version": 1}', (0, [])),
        (
            '{"version": 2, "clusters": [{"name": "a"}]}',
            None,
            (1, ["new: clusters[0]"]),
        ),
        ('{"version": 1}', "{}", (2, ["old: version"])),
        ('{"version": 1', None, (2, ["new"])),
        (None, None, (2, ["new"])),
    ],
)
def test_config_check_states_places_and_exit_status(
    run_command, tmp_path, monkeypatch, content, against, expected
):
    monkeypatch.chdir(tmp_path)
    words = ["config", "check", "new", "--format", "json"]
    if content is not None:
        (tmp_path / "new").write_text(content)
    if against is not None:
        (tmp_path / "old").write_text(against)
        words += ["--against", "old"]
    status, out, _ = run_command(*words)
    assert (status, [finding["place"] for finding in json.loads(out)]) == expected


# Markup in a name ended the command with an error, and hid what the name contained.
@pytest.mark.parametrize("form", ["table", "json"])
def test_config_check_prints_names_with_markup_as_they_are(run_command, tmp_path, form):
    name = "<fg=zzz>\x1b[31m"
    path = tmp_path / "new"
    path.write_text(json.dumps({"version": 1, "clusters": [{"name": name}]}))
    status, out, _ = run_command("config", "check", str(path), "--format", form)
    assert (status, "<fg=zzz>" in out, "\x1b" in out) == (1, True, False)
