"""Costs measured at several sizes, and the line fitted to them."""

import statistics

from msgspec import Struct

MIN_SIZES = 4
"""Minimum number of distinct sizes for a fit."""


class Point(Struct, frozen=True):
    """Value measured at one size."""

    size: float
    value: float


class Fit(Struct, frozen=True):
    """Straight line fitted to measured points.

    Parameters
    ----------
    slope : float
        Change of the value per unit of size.
    intercept : float
        Value at size 0.
    error : float
        Largest absolute residual, as a share of the largest absolute value.
    """

    slope: float
    intercept: float
    error: float

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


class Series(Struct, frozen=True):
    """Cost of one variant of the code, measured at several sizes.

    Parameters
    ----------
    name : str
        The cost.
    variant : str
        ``current`` for the daemon's code, or the name of what it is compared with.
    size_unit, value_unit : str
        Units of the points.
    points : tuple of Point
        Measured values; `fit` needs `MIN_SIZES` distinct sizes.
    """

    name: str
    variant: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]

    def fit(self) -> Fit:
        """Return the line fitted by least squares.

        Raises
        ------
        ValueError
            If there are fewer than `MIN_SIZES` distinct sizes.
        """
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        if len(set(sizes)) < MIN_SIZES:
            raise ValueError(f"{self.name}: a fit needs {MIN_SIZES} sizes or more")
        slope, intercept = statistics.linear_regression(sizes, values)
        largest_value = max(abs(value) for value in values) or 1.0
        largest_error = max(
            abs(value - (intercept + slope * size))
            for size, value in zip(sizes, values, strict=True)
        )
        return Fit(
            slope=slope, intercept=intercept, error=largest_error / largest_value
        )
