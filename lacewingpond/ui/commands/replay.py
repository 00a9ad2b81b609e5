"""`lacewingpond replay`: replays traces and checks their expected outcomes."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lacewingpond.replay.replayers import REPLAYERS
from lacewingpond.replay.runner import MeasureRow, replay
from lacewingpond.replay.trace import Trace
from lacewingpond.ui.output import (
    FORMAT_OPTION,
    parse_whole_number,
    to_json,
    wants_json,
)
from lacewingpond.ui.table import format_number, render_table
from lacewingpond.util.errors import UserError


class ReplayCommand(Command):
    """Replays traces, or generates all traces from a seed."""

    name = "replay"
    description = "Replay recorded traces and check their expected outcomes."
    help = (
        "Example: <info>lacewingpond replay traces/*.jsonl</info>\n"
        "To generate all traces: "
        "<info>lacewingpond replay --generate traces --seed 1</info>\n"
        "The exit status is 1 if a measure is outside its bound."
    )
    arguments = [argument("traces", "Trace files.", optional=True, multiple=True)]
    options = [
        FORMAT_OPTION,
        option("generate", None, "Generate all traces into this folder.", flag=False),
        option("seed", None, "Seed of generated traces.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        if self.option("generate"):
            return self._generate(Path(self.option("generate")))
        paths = [Path(name) for name in self.argument("traces") or []]
        if not paths:
            raise UserError("replay: no trace file given; give a path or --generate")
        rows = [
            row for path in paths for row in replay(path.name, Trace.from_file(path))
        ]
        self.line(to_json(rows) if as_json else _table(rows))
        failed = [row for row in rows if not row.held]
        for row in failed:
            self.line_error(_describe_failure(row))
        return 1 if failed else 0

    def _generate(self, folder: Path) -> int:
        folder.mkdir(parents=True, exist_ok=True)
        seed = parse_whole_number("seed", self.option("seed"))
        for replayer in REPLAYERS.values():
            for name, trace in replayer.generate(seed):
                (folder / name).write_bytes(trace.to_bytes())
                self.line(str(folder / name))
        return 0


def _table(rows: list[MeasureRow]) -> str:
    header = ("trace", "measure", "current", "naive", "target", "held")
    return render_table(
        header,
        [
            (
                row.trace,
                row.measure,
                format_number(row.current),
                format_number(row.naive),
                row.target,
                "yes" if row.held else "BROKEN",
            )
            for row in rows
        ],
    )


def _describe_failure(row: MeasureRow) -> str:
    return (
        f"{row.trace}: {row.measure} is {format_number(row.current)}, "
        f"which must be {row.target} (naive: {format_number(row.naive)})"
    )
