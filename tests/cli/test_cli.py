"""Command line: bad input is reported with its remedy before anything is started."""

from __future__ import annotations

from pathlib import Path

import pyjson5
import pytest

from chiveledge.cli import main
from chiveledge.configuration import parse_document
from chiveledge.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
SETTINGS = sorted(EXAMPLES.glob("*/settings/*.json5"))
DOCUMENTS = sorted(EXAMPLES.glob("*/configuration.json5"))


def run(*argv):
    with pytest.raises(SystemExit) as exited:
        main([str(argument) for argument in argv])
    return exited.value.code


INVALID_SETTINGS = [
    ('"region": "gyeonggi"', '"regoin": "gyeonggi"', "regoin: no such field"),
    ('"port": 7100', '"port": 710000', "http.port: got 710000"),
    ('"address": "127.0.1.11"', '"address": "localhost"', "got 'localhost'"),
    ('"roles": ["gateway"]', '"roles": ["cook"]', "roles.0: got 'cook'"),
    ('"http://127.0.1.1:7001"', '"https://127.0.1.1"', "platform.table"),
    ('"operator_token": "operator-demo-token",', "", "operator_token: is missing"),
    ("{", "{{", "not JSON with comments"),
]


@pytest.mark.parametrize(("old", "new", "message"), INVALID_SETTINGS)
def test_settings_error_names_file_field_and_remedy(
    tmp_path, capsys, old, new, message
):
    text = (EXAMPLES / "haneul/settings/gyeonggi-1-gateway.json5").read_text()
    assert old in text
    path = tmp_path / "settings.json5"
    path.write_text(text.replace(old, new, 1))
    assert run("run", path) == 2
    error = capsys.readouterr().err
    assert str(path) in error and message in error


INVALID_DOCUMENTS = [
    ('"cell": 8', '"cell": 7', "a cell holds 1, 2, 4"),
    ('"preset": "ordinary"', '"preset": "feast"', "preset 'feast' is not one of"),
    ('"weight": 40', '"weight": 0', "workspaces.cafes.weight: got 0"),
    ('"urgent": 8, ', "", "class_shares.urgent"),
]


@pytest.mark.parametrize(("old", "new", "message"), INVALID_DOCUMENTS)
def test_invalid_document_is_refused_before_any_call(
    tmp_path, capsys, old, new, message
):
    text = (EXAMPLES / "haneul/configuration.json5").read_text()
    assert old in text
    path = tmp_path / "configuration.json5"
    path.write_text(text.replace(old, new, 1))
    code = run(
        "set-configuration", path, "--expect", "0", "--url", "http://127.0.0.1:1"
    )
    assert code == 2
    assert message in capsys.readouterr().err


@pytest.mark.parametrize("path", SETTINGS, ids=lambda p: p.name)
def test_example_settings_are_valid(path):
    assert load_settings(path).is_ok()


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda p: p.parent.name)
def test_example_documents_are_valid_and_match_platform_size(path):
    document = parse_document(str(path), path.read_text()).unwrap()
    assert len(document.workspaces) == 4
    platform = pyjson5.decode((path.parent / "platform.json5").read_text())
    roles = [entry["role"] for entry in platform["entries"]]
    assert roles.count("minion") == roles.count("worker") == 24


@pytest.mark.parametrize(
    ("argv", "message"),
    [
        (("hosts",), "--url: is missing"),
        (("status", "j", "--url", "http://127.0.0.1:1"), "--workspace: is missing"),
        (("hosts", "--url", "http://127.0.0.1:1"), "--token: is missing"),
    ],
)
def test_missing_option_is_named(capsys, monkeypatch, argv, message):
    for name in ("URL", "TOKEN", "WORKSPACE"):
        monkeypatch.delenv(f"CHIVELEDGE_{name}", raising=False)
    if "--workspace" in message:
        monkeypatch.setenv("CHIVELEDGE_TOKEN", "t")
    assert run(*argv) == 2
    assert message in capsys.readouterr().err


def test_unreachable_process_exits_with_failure(capsys):
    code = run("hosts", "--url", "http://127.0.0.1:1", "--token", "t")
    assert code == 1
    assert "not reached" in capsys.readouterr().out


@pytest.mark.parametrize("command", ["drain-domain", "undrain-domain"])
@pytest.mark.parametrize("name", ["", " a", "x" * 101, ".."])
def test_domain_with_an_impossible_name_is_refused_before_any_call(
    capsys, command, name
):
    code = run(command, name, "--url", "http://127.0.0.1:1", "--token", "t")
    assert code == 2
    assert "domain: got" in capsys.readouterr().err


@pytest.mark.parametrize("argv", [("drain-domain", "a"), ("drains",)])
def test_drains_of_unreachable_processes_exit_with_failure(capsys, argv):
    assert run(*argv, "--url", "http://127.0.0.1:1", "--token", "t") == 1
    assert "http://127.0.0.1:1" in capsys.readouterr().err
