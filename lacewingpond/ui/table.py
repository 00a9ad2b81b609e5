"""Plain text tables for the terminal."""

from collections.abc import Sequence


def render(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return `rows` under `header` in columns of equal width."""
    cells = [list(header), *(list(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [_line(row, widths) for row in cells]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(lines)


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(padded).rstrip()


def number(value: float | None) -> str:
    """Return `value` with at most four significant digits, or a dash."""
    return "-" if value is None else f"{value:.4g}"
