"""The fixed order in which the systems of the forwarding tier run."""

from snipesaddle._internal.systems.forwarding import containment
from snipesaddle._internal.systems.forwarding.arrivals import ArrivalsSystem
from snipesaddle._internal.systems.forwarding.attempts import AttemptsSystem
from snipesaddle._internal.systems.forwarding.completion import (
    CompletionSystem,
)
from snipesaddle._internal.systems.forwarding.config_activation import (
    ConfigActivationSystem,
)
from snipesaddle._internal.systems.forwarding.directory import DirectorySystem
from snipesaddle._internal.systems.forwarding.endpoints import EndpointsSystem
from snipesaddle._internal.systems.forwarding.fleet import FleetSystem
from snipesaddle._internal.systems.forwarding.following import FollowingSystem
from snipesaddle._internal.systems.forwarding.gathering import GatheringSystem
from snipesaddle._internal.systems.forwarding.hedging import HedgingSystem
from snipesaddle._internal.systems.forwarding.lifecycle import LifecycleSystem
from snipesaddle._internal.systems.forwarding.load_balancing import (
    LatencyChooser,
)
from snipesaddle._internal.systems.forwarding.outcomes import OutcomesSystem
from snipesaddle._internal.systems.forwarding.placement import PlacementSystem
from snipesaddle._internal.systems.forwarding.presence import PresenceSystem
from snipesaddle._internal.systems.forwarding.relay_replies import (
    RelayRepliesSystem,
)
from snipesaddle._internal.systems.forwarding.store_sync import StoreSyncSystem
from snipesaddle._internal.systems.tick import TickSystem
from snipesaddle._internal.tables.forwarding.commands import Command
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The most runs of all systems in one tick.
_MAX_PASSES = 3


class ForwardSchedule:
    """Runs the systems over the tables in a fixed order.

    Updates from the store are processed before attempt results, and those
    before new requests. Completion runs after every system that can answer a
    part or mark it missing.
    """

    def __init__(self) -> None:
        chooser = LatencyChooser()
        self._systems: tuple[TickSystem[ForwardWorld], ...] = (
            StoreSyncSystem(),
            FollowingSystem(),
            ConfigActivationSystem(),
            EndpointsSystem(),
            FleetSystem(),
            AttemptsSystem(),
            OutcomesSystem(),
            ArrivalsSystem(chooser),
            GatheringSystem(),
            RelayRepliesSystem(),
            HedgingSystem(chooser),
            PlacementSystem(chooser),
            CompletionSystem(),
            LifecycleSystem(),
            PresenceSystem(),
            DirectorySystem(),
        )

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        """Calls `start` on every system, which sets its first timers."""
        for system in self._systems:
            system.start(world, now_ns)

    def tick(self, world: ForwardWorld, now_ns: int) -> list[Command]:
        """Runs one tick and returns the commands that the systems emitted.

        An error that a system does not contain itself ends its run only. The
        systems run again, up to `_MAX_PASSES` times in all, while a later
        system has left work for an earlier one.
        """
        world.counters.ticks += 1
        for _ in range(_MAX_PASSES):
            for system in self._systems:
                try:
                    system.run(world, now_ns)
                except Exception as error:
                    containment.report(world, error, now_ns)
            if (
                not world.pending_parts
                and not world.freed_services
                and not world.overdue_relay_requests
            ):
                break
        commands, world.outbox = world.outbox, []
        return commands
