"""`lacewingpond check`: reports all problems of a settings file."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err

from lacewingpond.settings.load import load_settings
from lacewingpond.settings.reference import reference
from lacewingpond.ui.output import FORMAT_OPTION, to_json, wants_json
from lacewingpond.util.errors import UserError

FINDINGS_STATUS = 2


class CheckCommand(Command):
    """Checks a settings file, or prints the reference of all settings."""

    name = "check"
    description = "Check a settings file and report all of its problems."
    help = (
        "Example: <info>lacewingpond check settings.toml</info>\n"
        "The exit status is 2 if there are problems."
    )
    arguments = [argument("settings", "Path of the settings file.", optional=True)]
    options = [
        FORMAT_OPTION,
        option("reference", None, "Print a Markdown page that lists all settings."),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("reference"):
            self.line(reference())
            return 0
        if not self.argument("settings"):
            raise UserError(
                "check: no settings file given; give its path or --reference"
            )
        as_json = wants_json(self.option("format"))
        outcome = load_settings(Path(self.argument("settings")))
        findings = outcome.err_value if isinstance(outcome, Err) else ()
        if as_json:
            self.line(to_json(findings))
        else:
            for finding in findings:
                self.line(str(finding))
            if not findings:
                self.line("no problems found")
        return FINDINGS_STATUS if findings else 0
