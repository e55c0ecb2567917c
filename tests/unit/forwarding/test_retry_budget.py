"""The retry budget: what each node may spend, and what all of them spend."""

from standins.forwarding import ForwardTicks, entry, merge_route

from snipesaddle._internal.systems.forwarding import retries
from snipesaddle._internal.tables.forwarding import commands


def test_the_log_tells_what_limits_the_budget() -> None:
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    ticks.world.retry_budget("s0").count_request(ticks.now_ns)
    ticks.world.retry_budget("s0").count_extra(ticks.now_ns)
    retries.log_use(ticks.world, ticks.now_ns)
    ticks.tick()
    (line,) = (
        line.fields
        for line in ticks.taken(commands.LogDecision)
        if line.event == "retry_budget"
    )
    assert (line["service"], line["requests"], line["extras"]) == ("s0", 1, 1)
    assert line["fleet_size"] == 1
