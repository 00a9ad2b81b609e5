"""All findings of a configuration, in the order of its document."""

from lacewingpond.entry.config_check.definitions import check_definitions
from lacewingpond.entry.config_check.differences import check_version, differences
from lacewingpond.entry.config_check.finding import ConfigFinding, from_fault
from lacewingpond.entry.config_check.form import ConfigForm
from lacewingpond.entry.config_check.limits import check_limits
from lacewingpond.entry.config_check.unmatched import check_unmatched
from lacewingpond.entry.model.entry_config import EntryConfig


def check_config(
    form: ConfigForm,
    config: EntryConfig | None = None,
    in_force: EntryConfig | None = None,
) -> list[ConfigFinding]:
    """Return all findings in the order of the document, then the differences.

    Parameters
    ----------
    form : ConfigForm
        The configuration as written.
    config : EntryConfig or None
        The same configuration as the daemon decodes it; None if it refuses it.
    in_force : EntryConfig or None
        The version in force, to compare with.
    """
    findings = [from_fault(fault) for fault in form.faults]
    findings += check_definitions(form)
    findings += check_unmatched(form)
    findings += check_limits(form)
    changes: list[ConfigFinding] = []
    if config is not None and in_force is not None:
        findings += check_version(in_force, config)
        changes += differences(in_force, config)
    index = {place: number for number, place in enumerate(form.places)}
    findings.sort(key=lambda finding: _position(finding.place, index))
    return findings + changes


def _position(place: str, index: dict[str, int]) -> int:
    """Return the position of `place`, or of what would contain a missing value."""
    while place and place not in index:
        place = place[: max(place.rfind("."), place.rfind("["), 0)]
    return index.get(place, 0)
