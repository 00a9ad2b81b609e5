"""Reads a settings file and reports everything that is wrong with it at once."""

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from lacewingpond.health.options import HealthOptions
from lacewingpond.settings.model import SecretSettings, Settings
from lacewingpond.util.address import parse_address
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.findings import Finding
from lacewingpond.util.toml_file import read_toml

PROFILES = {
    "certainty": HealthOptions.for_certainty(),
    "speed": HealthOptions.for_speed(),
    "large-fleet": HealthOptions.for_large_fleet(),
}
LOG_LEVELS = ("decisions", "changes", "none")
MIN_SECRET_BYTES = 16


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read and check the settings file at `path`."""
    read = read_toml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    return check_settings(read.ok_value, str(path))


def check_settings(
    data: Mapping[str, object], place: str
) -> Result[Settings, tuple[Finding, ...]]:
    """Turn parsed settings into `Settings`, or return all findings."""
    findings: list[Finding] = []
    filled = _fill_profile(dict(data), place, findings)
    cfg = convert_struct(Settings, filled, place, findings)
    if cfg is not None:
        _check_addresses(cfg, place, findings)
        _check_log(cfg, place, findings)
        _check_secret(cfg.fleet_secret, f"{place}.fleet_secret", findings)
        _check_secret(cfg.operator_token, f"{place}.operator_token", findings)
    return Err(tuple(findings)) if cfg is None or findings else Ok(cfg)


def read_secret(source: SecretSettings) -> bytes:
    """Return the secret that `source` names, without white space around it.

    Raises
    ------
    OSError, KeyError
        If the file or the variable can't be read.
    """
    if source.file:
        return Path(source.file).read_bytes().strip()
    return os.environ[source.variable].strip().encode()


def _fill_profile(
    data: dict[str, object], place: str, findings: list[Finding]
) -> dict[str, object]:
    """Put the profile's health options under those of the file."""
    name = data.get("profile", "certainty")
    base = PROFILES.get(name) if isinstance(name, str) else None
    if base is None:
        choices = ", ".join(PROFILES)
        findings.append(Finding(f"{place}.profile", f"must be one of {choices}"))
        return data
    given = data.get("health", {})
    if not isinstance(given, dict):
        return data
    return {**data, "health": {**msgspec.to_builtins(base), **given}}


def _check_addresses(cfg: Settings, place: str, findings: list[Finding]) -> None:
    wanted = {"store.address": cfg.store.address}
    if cfg.metrics.statsd:
        wanted["metrics.statsd"] = cfg.metrics.statsd
    for key, text in wanted.items():
        try:
            parse_address(text)
        except ValueError as exc:
            findings.append(Finding(f"{place}.{key}", f"{text!r}: {exc}"))
    hosts = {
        "http.host": cfg.http.host,
        "operators.host": cfg.operators.host,
        "peers.host": cfg.peers.host,
    }
    for key, text in hosts.items():
        try:
            ipaddress.ip_address(text)
        except ValueError:
            findings.append(Finding(f"{place}.{key}", f"{text!r} is no IP number"))


def _check_log(cfg: Settings, place: str, findings: list[Finding]) -> None:
    if cfg.log.level not in LOG_LEVELS:
        choices = ", ".join(LOG_LEVELS)
        findings.append(Finding(f"{place}.log.level", f"must be one of {choices}"))
    if cfg.log.sample > 1.0:
        findings.append(Finding(f"{place}.log.sample", "must be 0 to 1"))


def _check_secret(source: SecretSettings, place: str, findings: list[Finding]) -> None:
    if bool(source.file) == bool(source.variable):
        findings.append(Finding(place, "name either a file or a variable"))
        return
    try:
        secret = read_secret(source)
    except OSError as exc:
        findings.append(Finding(f"{place}.file", f"{source.file}: {exc.strerror}"))
    except KeyError:
        findings.append(Finding(f"{place}.variable", f"{source.variable} is not set"))
    else:
        if len(secret) < MIN_SECRET_BYTES:
            findings.append(
                Finding(place, f"must be at least {MIN_SECRET_BYTES} bytes long")
            )
