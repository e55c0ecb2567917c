"""The ports that one node uses, passed whole."""

from dataclasses import dataclass

from snipesaddle._internal.adapters.claim_store import ClaimStore
from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.ports.leaf_transport import LeafTransport
from snipesaddle._internal.ports.peer_transport import PeerTransport
from snipesaddle._internal.ports.vm_list import VmList


@dataclass(frozen=True, slots=True)
class Ports:
    """All that lies outside the tables."""

    leaves: LeafTransport
    peers: PeerTransport
    vm_list: VmList
    configs: ConfigStore
    claims: ClaimStore
