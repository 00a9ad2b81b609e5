"""`lacewingpond bench`: how the cost of a part grows with its size."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lacewingpond.bench.benches import BENCHES
from lacewingpond.bench.series import Fit, Series
from lacewingpond.ui.output import FORMAT_OPTION, to_json, wants_json, whole_number
from lacewingpond.ui.table import number, render
from lacewingpond.util.errors import UserError


class BenchCommand(Command):
    """Measures the named parts and fits a slope to each cost."""

    name = "bench"
    description = "Measure how the cost of a part grows with its size."
    help = "Example: <info>lacewingpond bench routing --seed 1</info>"
    arguments = [argument("names", "Benchmarks; all by default.", True, True)]
    options = [
        FORMAT_OPTION,
        option("seed", None, "Seed of random choices.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        seed = whole_number("seed", self.option("seed"))
        names = self.argument("names") or sorted(BENCHES)
        unknown = [name for name in names if name not in BENCHES]
        if unknown:
            known = ", ".join(sorted(BENCHES))
            raise UserError(f"bench: unknown {', '.join(unknown)}; known: {known}")
        series = [entry for name in names for entry in BENCHES[name].run(seed)]
        self.line(to_json(_report(series)) if as_json else _table(series))
        return 0


def _report(series: list[Series]) -> list[dict[str, object]]:
    return [{"series": entry, "fit": entry.fit()} for entry in series]


def _table(series: list[Series]) -> str:
    header = ("cost", "variant", "unit", "size", "points", "slope", "at 0", "error")
    return render(header, [_row(entry, entry.fit()) for entry in series])


def _row(entry: Series, fit: Fit) -> tuple[str, ...]:
    points = " ".join(f"{p.size:g}:{number(p.value)}" for p in entry.points)
    return (
        entry.name,
        entry.variant,
        entry.value_unit,
        entry.size_unit,
        points,
        number(fit.slope),
        number(fit.intercept),
        f"{fit.error:.1%}",
    )
