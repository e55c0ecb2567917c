"""Ids that differ between the runs of a node.

A reply can outlive the run that asked for it and reach the next one at the same
address. So the ids of messages do not start anew with each run: their upper
bits name the run.
"""

import itertools

import xxhash

_COUNTER_BITS = 32


def run_number(incarnation: str) -> int:
    """Returns the number, of 31 bits, that names a run in its ids.

    Args:
      incarnation: the id with which the run has started.
    """
    return xxhash.xxh32_intdigest(incarnation.encode()) >> 1


def counter(number: int) -> "itertools.count[int]":
    """Returns the ids of the run with a number, in their order."""
    return itertools.count((number << _COUNTER_BITS) + 1)


def run_number_of(run_id: int) -> int:
    """Returns the number of the run that has given out an id."""
    return run_id >> _COUNTER_BITS
