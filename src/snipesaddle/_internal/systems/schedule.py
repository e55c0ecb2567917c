"""The fixed order in which the systems run."""

from snipesaddle._internal.systems.admission import AdmissionSystem
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.systems.calls import CallsSystem
from snipesaddle._internal.systems.claims import ClaimsSystem
from snipesaddle._internal.systems.completion import CompletionSystem
from snipesaddle._internal.systems.config import ConfigSystem
from snipesaddle._internal.systems.directory import DirectorySystem
from snipesaddle._internal.systems.drain import DrainSystem
from snipesaddle._internal.systems.execution_dispatch import (
    ExecutionDispatchSystem,
)
from snipesaddle._internal.systems.executions import ExecutionsSystem
from snipesaddle._internal.systems.health import HealthSystem
from snipesaddle._internal.systems.hedging import HedgingSystem
from snipesaddle._internal.systems.links import LinksSystem
from snipesaddle._internal.systems.membership import MembershipSystem
from snipesaddle._internal.systems.planning import PlanningSystem
from snipesaddle._internal.systems.policies import make_policy
from snipesaddle._internal.systems.relays import RelaysSystem
from snipesaddle._internal.systems.results import ResultsSystem
from snipesaddle._internal.systems.routing import RoutingSystem
from snipesaddle._internal.systems.tick import TickSchedule
from snipesaddle._internal.tables.commands import Command
from snipesaddle._internal.tables.world import World

_MAX_PASSES = 4


class Schedule(TickSchedule[World, Command]):
    """The order of the systems over searches and executions."""

    def __init__(self, world: World) -> None:
        policy = make_policy(world.settings.policy)
        systems: tuple[System, ...] = (
            MembershipSystem(),
            ConfigSystem(),
            CallsSystem(),
            HealthSystem(),
            DrainSystem(),
            RelaysSystem(),
            ExecutionDispatchSystem(policy),
            ClaimsSystem(),
            ExecutionsSystem(),
            ResultsSystem(),
            AdmissionSystem(),
            PlanningSystem(),
            RoutingSystem(policy),
            HedgingSystem(policy),
            CompletionSystem(),
            LinksSystem(),
            DirectorySystem(),
        )
        super().__init__(systems, _MAX_PASSES)

    def _needs_another_pass(self, world: World) -> bool:
        return bool(
            world.pending_shards
            or world.ready_executions
            or world.freed_services
        )

    def _report(self, world: World, error: Exception, now_ns: int) -> None:
        del now_ns
        world.counters.unexpected_errors += 1
        world.system_errors.append(error)
