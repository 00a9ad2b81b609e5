"""Tests of lines fitted to measured series."""

import pytest

from lacewingpond.bench.series import Point, Series


def series_of(*points):
    return Series("cost", "current", "entries", "s", tuple(Point(*p) for p in points))


def test_fit_of_points_on_a_line_has_its_slope_and_no_error():
    fit = series_of((1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)).fit()
    assert fit.slope == pytest.approx(2.0)
    assert fit.at(10) == pytest.approx(21.0)
    assert fit.error == pytest.approx(0.0)


def test_fit_of_fewer_than_four_distinct_sizes_raises():
    with pytest.raises(ValueError, match="4 sizes"):
        series_of((1, 1.0), (1, 1.0), (2, 2.0), (3, 3.0)).fit()
