"""The fixed order in which the systems of the forwarding tier run."""

from snipesaddle._internal.systems.forwarding import containment
from snipesaddle._internal.systems.forwarding.arrival_checks import (
    ArrivalCheck,
    EndpointRoomCheck,
    FreshnessCheck,
    LeavingCheck,
    TenantCheck,
)
from snipesaddle._internal.systems.forwarding.arrivals import ArrivalsSystem
from snipesaddle._internal.systems.forwarding.attempts import AttemptsSystem
from snipesaddle._internal.systems.forwarding.completion import (
    CompletionSystem,
)
from snipesaddle._internal.systems.forwarding.config_activation import (
    ConfigActivationSystem,
)
from snipesaddle._internal.systems.forwarding.config_freshness import (
    ConfigFreshnessSystem,
)
from snipesaddle._internal.systems.forwarding.config_reads import (
    ConfigReadsSystem,
)
from snipesaddle._internal.systems.forwarding.directory import DirectorySystem
from snipesaddle._internal.systems.forwarding.endpoints import EndpointsSystem
from snipesaddle._internal.systems.forwarding.evacuations import (
    EvacuationsSystem,
)
from snipesaddle._internal.systems.forwarding.fleet import FleetSystem
from snipesaddle._internal.systems.forwarding.following import FollowingSystem
from snipesaddle._internal.systems.forwarding.gathering import GatheringSystem
from snipesaddle._internal.systems.forwarding.handover import HandoverSystem
from snipesaddle._internal.systems.forwarding.hedging import HedgingSystem
from snipesaddle._internal.systems.forwarding.lifecycle import LifecycleSystem
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.forwarding.load_shedding import (
    LoadCheck,
    LoadSystem,
    TimeLeftCheck,
)
from snipesaddle._internal.systems.forwarding.outcomes import OutcomesSystem
from snipesaddle._internal.systems.forwarding.placement import PlacementSystem
from snipesaddle._internal.systems.forwarding.presence import PresenceSystem
from snipesaddle._internal.systems.forwarding.quotas import (
    QuotaCheck,
    QuotasSystem,
)
from snipesaddle._internal.systems.forwarding.relay_replies import (
    RelayRepliesSystem,
)
from snipesaddle._internal.systems.forwarding.resends import ResendsSystem
from snipesaddle._internal.systems.forwarding.store_sync import StoreSyncSystem
from snipesaddle._internal.systems.forwarding.work_chooser import WorkChooser
from snipesaddle._internal.systems.tick import TickSchedule, TickSystem
from snipesaddle._internal.tables.forwarding.commands import Command
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MAX_PASSES = 3
ARRIVAL_CHECKS: tuple[ArrivalCheck, ...] = (
    # Before the tenant is looked up: without a proof, the answer is 503 and
    # not 401.
    FreshnessCheck(),
    TenantCheck(),
    LeavingCheck(),
    TimeLeftCheck(),
    EndpointRoomCheck(),
    LoadCheck(),
    # The last one: what another check refuses does not count.
    QuotaCheck(),
)


class ForwardSchedule(TickSchedule[ForwardWorld, Command]):
    """The order of the systems of the forwarding tier.

    Updates from the store are processed before attempt results, and those
    before new requests. Completion runs after every system that can answer a
    part or mark it missing.

    Args:
      chooser: chooses the endpoint of each attempt; a WorkChooser by default.
    """

    def __init__(self, chooser: EndpointChooser | None = None) -> None:
        chooser = chooser or WorkChooser()
        systems: tuple[TickSystem[ForwardWorld], ...] = (
            StoreSyncSystem(),
            ConfigReadsSystem(),
            FollowingSystem(),
            ConfigActivationSystem(),
            EvacuationsSystem(),
            EndpointsSystem(),
            FleetSystem(),
            ConfigFreshnessSystem(),
            HandoverSystem(),
            AttemptsSystem(),
            OutcomesSystem(),
            LoadSystem(),
            ArrivalsSystem(chooser, ARRIVAL_CHECKS),
            QuotasSystem(chooser),
            GatheringSystem(),
            RelayRepliesSystem(),
            HedgingSystem(chooser),
            PlacementSystem(chooser),
            CompletionSystem(),
            LifecycleSystem(),
            PresenceSystem(),
            DirectorySystem(),
            ResendsSystem(),
        )
        super().__init__(systems, _MAX_PASSES)

    def _needs_another_pass(self, world: ForwardWorld) -> bool:
        return bool(
            world.pending_parts
            or world.freed_services
            or world.overdue_relay_requests
        )

    def _report(
        self, world: ForwardWorld, error: Exception, now_ns: int
    ) -> None:
        containment.report(world, error, now_ns)
