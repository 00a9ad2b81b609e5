"""Tests of the replay of rates through the entry daemon's shares of quotas."""

from lacewingpond.replay.base import Variant
from lacewingpond.replay.rate_shares import play_shares
from lacewingpond.replay.rates import RatesReplayer


def test_shares_exceed_no_bound_and_refuse_less_than_static_limits():
    trace = dict(RatesReplayer().generate(1))["rates-owner-dies-imbaraga.jsonl"]
    shares = play_shares(trace)
    static = RatesReplayer().play(trace, Variant.NAIVE)
    assert shares["admitted_above_any_window"] == 0.0
    assert shares["refused_within_rate_take_over"] <= 0.01
    for measure in ("refused_within_rate_steady", "refused_within_rate_take_over"):
        assert shares[measure] < static[measure] / 10
    # Some requests are refused, so the unreachable VM held a needed share.
    assert shares["refused_within_rate_take_over"] > 0.0
