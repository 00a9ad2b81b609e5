"""`lacewingpond check`: all that is wrong with a settings file."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err

from lacewingpond.settings.load import load_settings
from lacewingpond.ui.output import FORMAT_OPTION, to_json, wants_json

FINDINGS_STATUS = 2


class CheckCommand(Command):
    """Checks settings without starting anything."""

    name = "check"
    description = "Check a settings file and report all findings."
    help = (
        "Example: <info>lacewingpond check settings.toml</info>\n"
        "The exit status is 2 when there are findings."
    )
    arguments = [argument("settings", "Path of the settings file.")]
    options = [FORMAT_OPTION]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        outcome = load_settings(Path(self.argument("settings")))
        findings = outcome.err_value if isinstance(outcome, Err) else ()
        if as_json:
            self.line(to_json(findings))
        else:
            for finding in findings:
                self.line(str(finding))
            if not findings:
                self.line("no findings")
        return FINDINGS_STATUS if findings else 0
