"""Tests that settings are read and that all of their problems are reported."""

import pytest

from lacewingpond.health.options import HealthOptions
from lacewingpond.settings.load import check_settings, load_settings
from lacewingpond.util.address import parse_address


@pytest.fixture
def data(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("0123456789abcdef0123\n")
    return {
        "vm": {"id": "vm-1", "failure_domain": "a"},
        "store": {"address": "127.0.0.1:9000"},
        "fleet_secret": {"file": str(secret)},
        "operator_token": {"file": str(secret)},
    }


def finding_places(result):
    return {finding.place for finding in result.unwrap_err()}


def test_valid_settings_are_accepted(data):
    assert check_settings(data, "s.toml").unwrap().vm.id == "vm-1"


def test_all_findings_are_reported_together(data):
    data["vm"] = {"id": 3, "colour": "red"}
    data["log"] = {"sample": -1.0}
    data["surprise"] = {}
    assert finding_places(check_settings(data, "s.toml")) == {
        "s.toml.vm.id",
        "s.toml.vm.colour",
        "s.toml.vm.failure_domain",
        "s.toml.log.sample",
        "s.toml.surprise",
    }


def test_invalid_values_are_reported(data, tmp_path):
    short = tmp_path / "short"
    short.write_text("abc")
    data["store"] = {"address": "127.0.0.1:99999"}
    data["http"] = {"host": "localhost"}
    data["profile"] = "careless"
    data["log"] = {"level": "loud"}
    data["fleet_secret"] = {"variable": "LACEWINGPOND_TEST_UNSET"}
    data["operator_token"] = {"file": str(short)}
    assert finding_places(check_settings(data, "s")) == {
        "s.store.address",
        "s.http.host",
        "s.profile",
        "s.log.level",
        "s.fleet_secret.variable",
        "s.operator_token",
    }


def test_unreadable_file_is_one_finding(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text("vm = [")
    assert finding_places(load_settings(path)) == {str(path)}
    assert finding_places(load_settings(tmp_path / "none")) == {str(tmp_path / "none")}


@pytest.mark.parametrize("text", ["", "1.2.3.4", "host:1", "1.2.3.4:x", ":80"])
def test_bad_addresses_are_refused(text):
    with pytest.raises(ValueError):
        parse_address(text)


def test_health_keys_replace_those_of_the_profile(data):
    data["profile"] = "speed"
    data["health"] = {"threshold": 99.0}
    health = check_settings(data, "s").unwrap().health
    assert health.threshold == 99.0
    assert health.period_s == HealthOptions.for_speed().period_s
