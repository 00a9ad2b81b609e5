"""`lacewingpond config check`: reports all problems of an operators' configuration."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type as OutputType
from msgspec.structs import replace

from lacewingpond.entry.config_check.check import check_config
from lacewingpond.entry.config_check.finding import (
    ConfigFinding,
    Level,
    error,
    exit_status,
    from_fault,
)
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.config_form import decode_form
from lacewingpond.ui.output import FORMAT_OPTION, to_json, wants_json


class ConfigCheckCommand(Command):
    """Checks a configuration document, and compares it with the one in force."""

    name = "config check"
    description = "Check an operators' configuration and report all of its problems."
    help = (
        "Example: <info>lacewingpond config check new.json --against old.json</info>\n"
        "The exit status is 0 if nothing is found, 1 if there are warnings only and 2 "
        "if there are errors. Differences do not change it."
    )
    arguments = [argument("file", "Path of the configuration, in JSON.")]
    options = [
        FORMAT_OPTION,
        option("against", None, "Path of the version in force.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        findings = _findings(self.argument("file"), self.option("against"))
        if as_json:
            self._write(to_json(findings))
        else:
            for finding in findings:
                self._write(_printable(str(finding)))
            if not any(each.level is not Level.DIFFERENCE for each in findings):
                self.line("no problems found")
        return exit_status(findings)

    def _write(self, text: str) -> None:
        # Names of the document may contain what cleo takes for markup.
        self.io.write_line(text, type=OutputType.RAW)


def _findings(file: str, against: str | None) -> list[ConfigFinding]:
    findings: list[ConfigFinding] = []
    in_force = _decode(against, findings) if against else None
    raw = _read(file, findings)
    if raw is None:
        return findings
    found = check_config(decode_form(raw), decode_config(raw).ok(), in_force)
    return findings + [_in_file(file, finding) for finding in found]


def _decode(file: str, findings: list[ConfigFinding]) -> EntryConfig | None:
    """Return the configuration in `file`, or None after adding the errors found."""
    raw = _read(file, findings)
    if raw is None:
        return None
    outcome = decode_config(raw)
    if outcome.is_err():
        faults = decode_form(raw).faults
        findings += (_in_file(file, from_fault(fault)) for fault in faults)
    return outcome.ok()


def _read(file: str, findings: list[ConfigFinding]) -> bytes | None:
    try:
        return Path(file).read_bytes()
    except OSError as exc:
        findings.append(error(file, f"can't be read: {exc.strerror}"))
        return None


def _printable(text: str) -> str:
    """Return `text` with control characters, which terminals obey, escaped."""
    return "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in text)


def _in_file(file: str, finding: ConfigFinding) -> ConfigFinding:
    place = f"{file}: {finding.place}" if finding.place else file
    return replace(finding, place=place)
