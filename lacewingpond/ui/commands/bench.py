"""`lacewingpond bench`: measures how costs grow with the size of the input."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lacewingpond.bench.benches import BENCHES
from lacewingpond.bench.series import Fit, Series
from lacewingpond.ui.output import (
    FORMAT_OPTION,
    parse_whole_number,
    to_json,
    wants_json,
)
from lacewingpond.ui.table import format_number, render_table
from lacewingpond.util.errors import UserError


class BenchCommand(Command):
    """Runs benchmarks and fits a line to each cost."""

    name = "bench"
    description = "Measure how costs grow with the size of the input."
    help = "Example: <info>lacewingpond bench routing --seed 1</info>"
    arguments = [argument("names", "Names of benchmarks; default: all.", True, True)]
    options = [
        FORMAT_OPTION,
        option("seed", None, "Seed of the random choices.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        seed = parse_whole_number("seed", self.option("seed"))
        names = self.argument("names") or sorted(BENCHES)
        unknown = [name for name in names if name not in BENCHES]
        if unknown:
            known = ", ".join(sorted(BENCHES))
            raise UserError(
                f"bench: unknown benchmarks: {', '.join(unknown)}; known: {known}"
            )
        series = [entry for name in names for entry in BENCHES[name].run(seed)]
        self.line(to_json(_with_fits(series)) if as_json else _table(series))
        return 0


def _with_fits(series: list[Series]) -> list[dict[str, object]]:
    return [{"series": entry, "fit": entry.fit()} for entry in series]


def _table(series: list[Series]) -> str:
    header = (
        "cost",
        "variant",
        "unit",
        "size",
        "points",
        "slope",
        "intercept",
        "fit error",
    )
    return render_table(header, [_row(entry, entry.fit()) for entry in series])


def _row(entry: Series, fit: Fit) -> tuple[str, ...]:
    points = " ".join(f"{p.size:g}:{format_number(p.value)}" for p in entry.points)
    return (
        entry.name,
        entry.variant,
        entry.value_unit,
        entry.size_unit,
        points,
        format_number(fit.slope),
        format_number(fit.intercept),
        f"{fit.error:.1%}",
    )
