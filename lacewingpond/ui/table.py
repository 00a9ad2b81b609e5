"""Plain text tables for the terminal."""

from collections.abc import Sequence


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with aligned columns and a line under the header."""
    cells = [list(header), *(list(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [_format_row(row, widths) for row in cells]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(lines)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(padded).rstrip()


def format_number(value: float | None) -> str:
    """Return `value` with at most four significant digits, or a dash for None."""
    return "-" if value is None else f"{value:.4g}"
