"""Links: connections to leaves, within this node's share of their limits."""

from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import CloseLink, Probe
from snipesaddle._internal.tables.events import LinkClosed, ProbeFinished
from snipesaddle._internal.tables.leaves import Leaf, LeafState, Link, LinkState
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

# How long a closed link still counts against the limit, so that the leaf has
# seen the close before another link is opened.
_CLOSE_LINGER_NS = 50 * NS_PER_MS


def has_capacity(leaf: Leaf) -> bool:
    """Returns whether a call to this leaf could start now."""
    return bool(leaf.idle_links) or leaf.open_links < leaf.link_limit


def acquire_link(world: World, leaf: Leaf) -> int:
    """Returns an idle link, or a new one within the limit.

    Raises:
      LookupError: the limit is reached; check has_capacity first.
    """
    if leaf.idle_links:
        link_id = leaf.idle_links.pop()
        world.links[link_id].state = LinkState.BUSY
        return link_id
    return _new_link(world, leaf, LinkState.BUSY)


def release(world: World, link_id: int, usable: bool, now_ns: int) -> None:
    """Releases the link of an ended call; an unusable one is closed already."""
    link = world.links.get(link_id)
    if link is None:
        return
    if link.state is LinkState.OPENING:
        world.opening_links -= 1
    leaf = world.leaves.get(link.leaf_id)
    if not usable:
        _start_linger(world, link, now_ns)
        return
    link.state = LinkState.IDLE
    if leaf is None or not leaf.accepts_work():
        _close_link(world, link)
        return
    leaf.idle_links.append(link_id)


def start_probe(world: World, leaf: Leaf, now_ns: int) -> bool:
    """Probes a leaf over an idle or new link; returns False if none is free."""
    del now_ns
    if not has_capacity(leaf):
        return False
    if leaf.idle_links:
        link_id = acquire_link(world, leaf)
    else:
        link_id = _new_link(world, leaf, LinkState.OPENING)
        world.opening_links += 1
    timeout_ns = world.settings.leaves.probe_timeout_ms * NS_PER_MS
    world.emit(Probe(leaf.leaf_id, link_id, timeout_ns))
    return True


def finish_probe(world: World, probe: ProbeFinished, now_ns: int) -> None:
    """Releases the link of a probe and delays reopening after a failure."""
    release(world, probe.link_id, probe.link_usable, now_ns)
    leaf = world.leaves.get(probe.leaf_id)
    if leaf is None:
        return
    if not probe.link_usable:
        delay_ns = world.settings.leaves.reopen_delay_ms * NS_PER_MS
        leaf.reopen_ns = now_ns + delay_ns
        world.timers.set(TimerKind.LINK, leaf.leaf_id, leaf.reopen_ns)
    world.leaves.mark_dirty(leaf.leaf_id)


def close_idle_links(world: World, leaf: Leaf | None) -> None:
    """Closes the idle links of a leaf."""
    if leaf is None:
        return
    for link_id in leaf.idle_links:
        _close_link(world, world.links[link_id])
    leaf.idle_links = []


def _new_link(world: World, leaf: Leaf, state: LinkState) -> int:
    if leaf.open_links >= leaf.link_limit:
        raise LookupError(f"all links to leaf {leaf.leaf_id} are in use")
    link_id = world.next_id()
    world.links.put(link_id, Link(link_id, leaf.leaf_id, state))
    leaf.open_links += 1
    return link_id


def _close_link(world: World, link: Link) -> None:
    link.state = LinkState.CLOSING
    world.emit(CloseLink(link.link_id))


def _start_linger(world: World, link: Link, now_ns: int) -> None:
    link.state = LinkState.CLOSING
    world.timers.set(TimerKind.LINK, link.link_id, now_ns + _CLOSE_LINGER_NS)


class LinksSystem(System):
    """Opens links ahead of use and closes those of leaving leaves."""

    def run(self, world: World, now_ns: int) -> None:
        for closed in world.inbox.take(LinkClosed):
            link = world.links.get(closed.link_id)
            if link is not None:
                _start_linger(world, link, now_ns)
        for key in world.timers.pop_due(TimerKind.LINK, now_ns):
            self._handle_timer(world, key)
        for leaf in world.leaves.take_dirty():
            self._adjust_links(world, leaf, now_ns)

    def _handle_timer(self, world: World, key: object) -> None:
        if isinstance(key, str):
            world.leaves.mark_dirty(key)
        elif isinstance(key, int):
            self._remove_link(world, key)

    def _remove_link(self, world: World, link_id: int) -> None:
        link = world.links.remove(link_id)
        if link is None:
            return
        leaf = world.leaves.get(link.leaf_id)
        if leaf is not None:
            leaf.open_links -= 1
            world.leaves.mark_dirty(leaf.leaf_id)
            world.freed_services.add(leaf.service)

    def _adjust_links(self, world: World, leaf: Leaf, now_ns: int) -> None:
        if not leaf.accepts_work():
            close_idle_links(world, leaf)
            if leaf.state is LeafState.REMOVED and leaf.open_links == 0:
                world.leaves.remove(leaf.leaf_id)
            return
        target = min(world.settings.leaves.warm_links, leaf.link_limit)
        if leaf.open_links >= target or leaf.probing:
            return
        if now_ns < leaf.reopen_ns:
            world.timers.set(TimerKind.LINK, leaf.leaf_id, leaf.reopen_ns)
            return
        if world.opening_links >= world.settings.leaves.max_opening:
            retry_ns = now_ns + _CLOSE_LINGER_NS
            world.timers.set(TimerKind.LINK, leaf.leaf_id, retry_ns)
            return
        leaf.probing = start_probe(world, leaf, now_ns)
