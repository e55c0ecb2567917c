"""Config activation: puts the highest configuration known in force."""

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
    """Takes configurations from the store and from peers; never goes back."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        offered, world.offered = world.offered, []
        for shared in world.inbox.take(PeerConfigReceived):
            offered.append(shared.config)
        if not offered:
            return
        newest = max(offered, key=lambda config: config.version)
        if newest.version > world.active_config.version:
            self._activate(world, newest, now_ns)

    def _activate(
        self, world: ForwardWorld, config: RouteConfig, now_ns: int
    ) -> None:
        previous = world.active_config.version
        world.active_config = ActiveConfig(
            config, RouteIndex(config.routes), now_ns
        )
        names = {route.name for route in config.routes}
        for gone in world.split_credits.keys() - names:
            del world.split_credits[gone]
        world.emit(SetClientLimits(config.limits))
        world.log(
            "config_in_force",
            version=config.version,
            previous=previous,
            routes=len(config.routes),
            services=len(config.services),
        )
