"""Reads a settings file and reports all of its problems at once."""

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
    """Return the settings in the file at `path`, or all findings."""
    read = read_toml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    return check_settings(read.ok_value, str(path))


def check_settings(
    data: Mapping[str, object], place: str
) -> Result[Settings, tuple[Finding, ...]]:
    """Return `data` as settings, or all findings.

    Parameters
    ----------
    data : Mapping
        The parsed settings file.
    place : str
        Name of the file, which prefixes the place of each finding.
    """
    findings: list[Finding] = []
    merged = _apply_profile(dict(data), place, findings)
    cfg = convert_struct(Settings, merged, place, findings)
    if cfg is not None:
        _check_addresses(cfg, place, findings)
        _check_log(cfg, place, findings)
        _check_secret(cfg.fleet_secret, f"{place}.fleet_secret", findings)
        _check_secret(cfg.operator_token, f"{place}.operator_token", findings)
    return Err(tuple(findings)) if cfg is None or findings else Ok(cfg)


def read_secret(source: SecretSettings) -> bytes:
    """Return the secret that `source` names, without surrounding white space.

    Raises
    ------
    OSError
        If the file can't be read.
    KeyError
        If the environment variable is not set.
    """
    if source.file:
        return Path(source.file).read_bytes().strip()
    return os.environ[source.variable].strip().encode()


def _apply_profile(
    data: dict[str, object], place: str, findings: list[Finding]
) -> dict[str, object]:
    """Return `data` with the profile's health options as defaults."""
    name = data.get("profile", "certainty")
    defaults = PROFILES.get(name) if isinstance(name, str) else None
    if defaults is None:
        choices = ", ".join(PROFILES)
        findings.append(Finding(f"{place}.profile", f"must be one of {choices}"))
        return data
    overrides = data.get("health", {})
    if not isinstance(overrides, dict):
        return data
    return {**data, "health": {**msgspec.to_builtins(defaults), **overrides}}


def _check_addresses(cfg: Settings, place: str, findings: list[Finding]) -> None:
    addresses = {"store.address": cfg.store.address}
    if cfg.metrics.statsd:
        addresses["metrics.statsd"] = cfg.metrics.statsd
    for key, text in addresses.items():
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
            findings.append(Finding(f"{place}.{key}", f"{text!r} is not an IP address"))


def _check_log(cfg: Settings, place: str, findings: list[Finding]) -> None:
    if cfg.log.level not in LOG_LEVELS:
        choices = ", ".join(LOG_LEVELS)
        findings.append(Finding(f"{place}.log.level", f"must be one of {choices}"))
    if cfg.log.sample > 1.0:
        findings.append(Finding(f"{place}.log.sample", "must be between 0 and 1"))


def _check_secret(source: SecretSettings, place: str, findings: list[Finding]) -> None:
    if bool(source.file) == bool(source.variable):
        findings.append(
            Finding(place, "must name either a file or an environment variable")
        )
        return
    try:
        secret = read_secret(source)
    except OSError as exc:
        findings.append(Finding(f"{place}.file", f"{source.file}: {exc.strerror}"))
    except KeyError:
        findings.append(
            Finding(
                f"{place}.variable",
                f"environment variable {source.variable} is not set",
            )
        )
    else:
        if len(secret) < MIN_SECRET_BYTES:
            findings.append(
                Finding(place, f"secret must have at least {MIN_SECRET_BYTES} bytes")
            )
