"""Tests of the route lookup."""

import pytest

from lacewingpond.config.model import Config, Route, Service
from lacewingpond.routing.match import RouteFailure
from lacewingpond.routing.routes import RouteTable

ROUTES = (
    Route("any", "s", "/"),
    Route("plans", "s", "/plans"),
    Route("plans-new", "s", "/plans/new/", methods=("POST",)),
    Route("read", "s", "/sketch", methods=("GET", "HEAD")),
    Route("write", "s", "/sketch", methods=("POST",)),
    Route("shop", "s", "/books", host="Shop.example"),
    Route("lost", "gone", "/lost"),
)


def table(routes=ROUTES):
    return RouteTable.from_config(Config(services=(Service("s"),), routes=routes))


@pytest.mark.parametrize(
    ("host", "path", "method", "name"),
    [
        ("x", "/", "GET", "any"),
        ("x", "/plans", "GET", "plans"),
        ("x", "/plans/", "GET", "plans"),
        ("x", "/plans/7?new=1", "GET", "plans"),
        ("x", "/plansandmore", "GET", "any"),
        ("x", "/plans/new", "POST", "plans-new"),
        ("x", "/sketch/1", "HEAD", "read"),
        ("x", "/sketch/1", "POST", "write"),
        ("shop.example", "/books/1", "GET", "shop"),
        ("shop.example", "/plans", "GET", "plans"),
        ("x", "/books", "GET", "any"),
        ("x", "/lost", "GET", "any"),
        ("x", "//plans", "GET", "plans"),
        ("x", "/%70lans", "GET", "plans"),
        ("x", "/plans%2fnew", "POST", "plans-new"),
        ("x", "/plans;a=b/new", "POST", "plans-new"),
    ],
)
def test_longest_prefix_of_whole_segments_is_selected(host, path, method, name):
    assert table().match(host, path, method).ok().route.name == name


def test_refused_method_names_the_allowed_methods():
    miss = table().match("x", "/sketch", "DELETE").err()
    assert miss.failure is RouteFailure.METHOD_NOT_ALLOWED
    assert miss.allowed == ("GET", "HEAD", "POST")


def test_path_without_a_route_is_a_miss():
    miss = table(ROUTES[1:]).match("x", "/other", "GET").err()
    assert miss.failure is RouteFailure.NO_ROUTE


@pytest.mark.parametrize(
    "path",
    [
        "/open/../plans",
        "/open/%2e%2e/plans",
        "/open/.%2E/plans",
        "/open/..%2fplans",
        "/open\\..\\plans",
        "/open/..;/plans",
        "/./plans",
        "/plans%0",
        "/plans%zz",
        "/plans%00",
    ],
)
def test_path_that_a_target_could_read_differently_is_refused(path):
    miss = table().match("x", path, "GET").err()
    assert miss.failure is RouteFailure.BAD_PATH
