"""Processor time of one leaf call in the forwarding tier, without sockets.

Runs queries of a given fan-out through the tables and systems; each answer
comes in a tick of its own, as on a real node under little load.
"""

import argparse
import cProfile
import json
import pstats
import time

from snipesaddle._internal.tables.forwarding import commands
from tests.standins.forwarding import ForwardTicks, entry, merge_route


def run(fan_out: int, queries: int) -> float:
    """Returns the processor time of one call in microseconds."""
    entries = [
        entry(f"s{number}{zone}", f"s{number}", zone=zone)
        for number in range(fan_out)
        for zone in "ab"
    ]
    ticks = ForwardTicks([merge_route(fan_out)], entries)
    started_ns = time.process_time_ns()
    for _ in range(queries):
        ticks.ask(b"/sweep/x")
        for attempt in ticks.taken(commands.SendAttempt):
            ticks.answer(attempt, b"0123456789abcdef" * 12)
        ticks.commands.clear()
        ticks.now_ms += 20
    spent_ns = time.process_time_ns() - started_ns
    return spent_ns / 1_000 / queries / fan_out


def main() -> None:
    """Prints one JSON line a fan-out."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--queries", type=int, default=200)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    if options.profile:
        profile = cProfile.Profile()
        profile.runcall(run, 90, options.queries)
        pstats.Stats(profile).sort_stats("tottime").print_stats(30)
        return
    for fan_out in (5, 20, 50, 90, 135):
        spent_us = run(fan_out, options.queries)
        row = {"fan_out": fan_out, "us_per_call": round(spent_us, 1)}
        print(json.dumps(row))


if __name__ == "__main__":
    main()
