"""Config activation: puts the newest known configuration in force."""

from snipesaddle._internal.systems.forwarding import following
from snipesaddle._internal.systems.tick import TickSystem
from snipesaddle._internal.tables.forwarding.commands import SetClientLimits
from snipesaddle._internal.tables.forwarding.events import PeerConfigReceived
from snipesaddle._internal.tables.forwarding.routes import (
    ActiveConfig,
    RouteConfig,
    RouteIndex,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


class ConfigActivationSystem(TickSystem[ForwardWorld]):
    """Activates newer configurations from the store and from peers.

    A configuration with an older version never replaces the active one.
    """

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        received_configs, world.received_configs = world.received_configs, []
        for received in world.inbox.take(PeerConfigReceived):
            received_configs.append(received.config)
        if not received_configs:
            return
        newest = max(received_configs, key=lambda config: config.version)
        if newest.version > world.active_config.version:
            self._activate(world, newest, now_ns)

    def _activate(
        self, world: ForwardWorld, config: RouteConfig, now_ns: int
    ) -> None:
        previous = world.active_config.version
        world.active_config = ActiveConfig(config, RouteIndex(config.routes))
        names = {route.name for route in config.routes}
        for removed in world.split_credits.keys() - names:
            del world.split_credits[removed]
        world.emit(SetClientLimits(config.limits))
        following.pass_on_config(world, now_ns)
        world.log(
            "config_in_force",
            version=config.version,
            previous=previous,
            routes=len(config.routes),
            services=len(config.services),
        )
