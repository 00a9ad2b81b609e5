"""`lacewingpond standin`: stand-ins of the platform and of targets."""

from typing import TypeVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from msgspec import Struct

from lacewingpond.standin.options import PlatformOptions, TargetOptions
from lacewingpond.standin.platform import StandinPlatform
from lacewingpond.standin.target import StandinTarget
from lacewingpond.ui.signals import wait_for_stop
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.errors import UserError
from lacewingpond.util.findings import Finding

S = TypeVar("S", bound=Struct)


def _flags(kind: type[Struct]) -> list:
    """Return one command-line option for each field of an options class."""
    return [
        option(
            field.name.replace("_", "-"),
            None,
            f"Default: {field.default}.",
            flag=False,
        )
        for field in msgspec.structs.fields(kind)
    ]


class StandinCommand(Command):
    """Base of the commands that run one stand-in."""

    def parse(self, kind: type[S]) -> S:
        """Return the options that the command line gives."""
        given: dict[str, object] = {}
        for field in msgspec.structs.fields(kind):
            text = self.option(field.name.replace("_", "-"))
            if text is not None:
                given[field.name] = _plain(text, field.type)
        findings: list[Finding] = []
        options = convert_struct(kind, given, "options", findings)
        if options is None:
            raise UserError("; ".join(str(finding) for finding in findings))
        return options


class StandinPlatformCommand(StandinCommand):
    """Runs a stand-in of the platform's store and VM list."""

    name = "standin platform"
    description = "Run a stand-in of the platform's store and VM list."
    help = "Example: <info>lacewingpond standin platform --port 7070</info>"
    options = _flags(PlatformOptions)

    def handle(self) -> int:
        """Run the command."""
        options = self.parse(PlatformOptions)
        platform = StandinPlatform.from_options(options, RuntimeClock())
        platform.start()
        self.line(f"platform at {platform.address}")
        wait_for_stop()
        platform.stop()
        return 0


class StandinTargetCommand(StandinCommand):
    """Runs a stand-in target with the faults that its flags name."""

    name = "standin target"
    description = "Run a stand-in target; its flags choose its faults."
    help = (
        "Example: <info>lacewingpond standin target --port 9001 --gray-share 0.5</info>"
    )
    options = _flags(TargetOptions)

    def handle(self) -> int:
        """Run the command."""
        options = self.parse(TargetOptions)
        target = StandinTarget.from_options(options, RuntimeClock())
        target.start()
        self.line(f"target {options.name} at {target.address}")
        wait_for_stop()
        target.stop()
        return 0


def _plain(text: str, kind: object) -> object:
    """Return the number or truth value in `text`, or the text itself."""
    if kind is str:
        return text
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
