"""Decoding of the platform's settings file, and errors that name the invalid field."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest
from result import Err, Ok

from chiveledge.platform._settings import Endpoint, load_settings

GOOD = {
    "node": "front-1",
    "zone": "z1",
    "region": "r1",
    "ip": "10.1.0.19",
    "listen": {"front": "10.1.0.19:8521", "ready": "10.1.0.19:8523"},
    "port_range": [7000, 7015],
    "platform": {"address": "10.200.1.7:8524", "form": "table"},
    "bounds": {"config_apply_ms": 4000, "hold_max_ms": 5000},
    "orders": "call",
    "a_new_field": {"to be": "ignored"},
}


def load(tmp_path, fields):
    path = tmp_path / "node.json"
    path.write_text(fields if isinstance(fields, str) else json.dumps(fields))
    return load_settings(str(path))


def test_settings_are_decoded(tmp_path):
    settings = load(tmp_path, GOOD).unwrap()
    assert settings.store == Endpoint("10.200.1.7", 8524)
    assert settings.api == Endpoint("10.1.0.19", 8521)
    assert settings.bounds.config_apply_s == 4.0
    assert settings.bounds.longest_lease_s == 5.0
    assert settings.advice is None
    assert settings.limits.cores == 1.0
    limits = {"limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 5}}
    settings = load(tmp_path, GOOD | limits).unwrap()
    assert settings.limits == (1.074, 5.0, 256.0, 4096)
    limits["limits"] |= {"memory_mb": 300, "max_fds": 4100}
    settings = load(tmp_path, GOOD | limits).unwrap()
    assert settings.limits == (1.074, 5.0, 300.0, 4100)


@pytest.mark.parametrize(
    "change,field",
    [
        ({"node": None}, "node"),
        ({"zone": 3}, "zone"),
        ({"platform": None}, "platform"),
        ({"platform": {"address": "nowhere"}}, "platform.address"),
        ({"platform": {"address": "1.2.3.4:5", "form": "log"}}, "platform.form"),
        ({"listen": {"front": "1.2.3.4"}}, "listen.front"),
        ({"orders": "heartbeat"}, "orders"),
        ({"bounds": {"stop_ms": "long"}}, "bounds.stop_ms"),
        ({"limits": {"cores": "two"}}, "limits.cores"),
        ({"limits": {"cores": 10**400}}, "limits.cores"),
        ({"port_range": ["a", "b"]}, "port_range"),
        ({"port_range": [7000, 70_000]}, "port_range"),
        ({"listen": {"front": "1.2.3.4:70000"}}, "listen.front"),
    ],
)
def test_error_names_invalid_field(tmp_path, change, field):
    match load(tmp_path, GOOD | change):
        case Err(error):
            assert error.field == field
            assert error.remedy
        case Ok(_):
            raise AssertionError("accepted")


@pytest.mark.parametrize("text", ["", "{", "[]", "null"])
def test_file_without_object_is_refused(tmp_path, text):
    assert load(tmp_path, text).is_err()


def test_process_without_settings_exits_with_code_2():
    environment = {k: v for k, v in os.environ.items() if k != "CHIVELEDGE_BOOT"}
    done = subprocess.run(
        [sys.executable, "-m", "chiveledge.platform"],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert "CHIVELEDGE_BOOT" in done.stderr
