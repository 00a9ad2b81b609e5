"""`lacewingpond standin`: runs a stand-in for the platform or a target."""

from typing import TypeVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from msgspec import Struct

from lacewingpond.standin.options import StandinPlatformOptions, StandinTargetOptions
from lacewingpond.standin.platform import StandinPlatform
from lacewingpond.standin.target import StandinTarget
from lacewingpond.ui.signals import wait_for_stop
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.errors import UserError
from lacewingpond.util.findings import Finding

S = TypeVar("S", bound=Struct)


def _field_options(options_class: type[Struct]) -> list:
    """Return one command-line option for each field of an options class."""
    return [
        option(
            field.name.replace("_", "-"),
            None,
            f"Default: {field.default}.",
            flag=False,
        )
        for field in msgspec.structs.fields(options_class)
    ]


class StandinCommand(Command):
    """Base of the commands that run one stand-in until a signal stops it."""

    def parse(self, options_class: type[S]) -> S:
        """Return the options given on the command line.

        Raises
        ------
        UserError
            If a value is not valid, with all findings.
        """
        values: dict[str, object] = {}
        for field in msgspec.structs.fields(options_class):
            text = self.option(field.name.replace("_", "-"))
            if text is not None:
                values[field.name] = _parse_value(text, field.type)
        findings: list[Finding] = []
        options = convert_struct(options_class, values, "options", findings)
        if options is None:
            raise UserError("; ".join(str(finding) for finding in findings))
        return options


class StandinPlatformCommand(StandinCommand):
    """Runs a stand-in for the platform's store and VM list."""

    name = "standin platform"
    description = "Run a stand-in for the platform's store and VM list."
    help = "Example: <info>lacewingpond standin platform --port 7070</info>"
    options = _field_options(StandinPlatformOptions)

    def handle(self) -> int:
        """Run the command."""
        options = self.parse(StandinPlatformOptions)
        platform = StandinPlatform.from_options(options, RuntimeClock())
        platform.start()
        self.line(f"stand-in platform at {platform.address}")
        wait_for_stop()
        platform.stop()
        return 0


class StandinTargetCommand(StandinCommand):
    """Runs a stand-in target with the faults that its options select."""

    name = "standin target"
    description = "Run a stand-in target; its options select its faults."
    help = (
        "Example: <info>lacewingpond standin target --port 9001 --gray-share 0.5</info>"
    )
    options = _field_options(StandinTargetOptions)

    def handle(self) -> int:
        """Run the command."""
        options = self.parse(StandinTargetOptions)
        target = StandinTarget.from_options(options, RuntimeClock())
        target.start()
        self.line(f"stand-in target {options.name} at {target.address}")
        wait_for_stop()
        target.stop()
        return 0


def _parse_value(text: str, options_class: object) -> object:
    """Return `text` as a number or boolean, or as text if it is neither."""
    if options_class is str:
        return text
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
