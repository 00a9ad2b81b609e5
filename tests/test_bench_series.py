"""Tests of fitted slopes."""

import pytest

from lacewingpond.bench.series import Point, Series


def series_of(*points):
    return Series("cost", "current", "entries", "s", tuple(Point(*p) for p in points))


def test_fit_finds_slope_and_error():
    fit = series_of((1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)).fit()
    assert fit.slope == pytest.approx(2.0)
    assert fit.at(10) == pytest.approx(21.0)
    assert fit.error == pytest.approx(0.0)


def test_fit_refuses_too_few_sizes():
    with pytest.raises(ValueError, match="4 sizes"):
        series_of((1, 1.0), (1, 1.0), (2, 2.0), (3, 3.0)).fit()
