"""Measured costs at several sizes, and the line fitted through them."""

import statistics

from msgspec import Struct

MIN_SIZES = 4
"""Fewest sizes from which a slope is taken."""


class Point(Struct, frozen=True):
    """One measured value at one size."""

    size: float
    value: float


class Fit(Struct, frozen=True):
    """A straight line through measured points.

    Parameters
    ----------
    slope : float
        Value per unit of size.
    intercept : float
        Value at size 0.
    error : float
        Largest distance of a point from the line, as a share of the largest value.
    """

    slope: float
    intercept: float
    error: float

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


class Series(Struct, frozen=True):
    """A cost of one variant of the code, measured at several sizes.

    Parameters
    ----------
    name : str
        What was measured.
    variant : str
        ``current``, or the name of the simpler way beside it.
    size_unit, value_unit : str
        Units of the points.
    points : tuple of Point
        At least `MIN_SIZES` sizes.
    """

    name: str
    variant: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]

    def fit(self) -> Fit:
        """Fit a line by least squares.

        Raises
        ------
        ValueError
            With fewer than `MIN_SIZES` sizes.
        """
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        if len(set(sizes)) < MIN_SIZES:
            raise ValueError(f"{self.name}: a slope needs {MIN_SIZES} sizes or more")
        slope, intercept = statistics.linear_regression(sizes, values)
        largest = max(abs(value) for value in values) or 1.0
        worst = max(
            abs(value - (intercept + slope * size))
            for size, value in zip(sizes, values, strict=True)
        )
        return Fit(slope=slope, intercept=intercept, error=worst / largest)
