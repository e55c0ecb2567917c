"""The ports of one node, grouped in one object."""

from dataclasses import dataclass

from snipesaddle._internal.adapters.claim_store import ClaimStore
from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.ports.leaf_transport import LeafTransport
from snipesaddle._internal.ports.peer_transport import PeerTransport
from snipesaddle._internal.ports.vm_list import VmList


@dataclass(frozen=True, slots=True)
class Ports:
    """The adapters through which a node reaches the outside."""

    leaves: LeafTransport
    peers: PeerTransport
    vm_list: VmList
    configs: ConfigStore
    claims: ClaimStore
