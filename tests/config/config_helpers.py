"""Small configurations, intents and histories for the tests."""

from lacewingpond.config.head import ConfirmedPlan
from lacewingpond.config.intents import GrantKey, PutRoute, PutService, PutWorkspace
from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Config, Key, Route, Service, Target, Workspace


def targets(count):
    return tuple(Target(f"t{n}", f"10.0.0.{n + 1}:80") for n in range(count))


def first_intents():
    return (
        PutWorkspace(Workspace("shop", 10.0, 20.0)),
        PutService(Service("gallery", targets(6))),
        PutRoute(Route("pages", "gallery", "/pages")),
        GrantKey(Key("k1", "shop", key_digest("secret"))),
    )


def small_config():
    return Config(
        revision=1,
        workspaces=(Workspace("shop", 10.0, 20.0),),
        keys=(Key("k1", "shop", key_digest("secret")),),
        services=(Service("gallery", targets(6)),),
        routes=(Route("pages", "gallery", "/pages"),),
    )


def history(revision):
    return (ConfirmedPlan(revision, "made-by-hand"),)
