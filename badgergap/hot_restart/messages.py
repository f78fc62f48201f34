"""The messages between two processes of one gateway, and their form on the wire. Pure, no I/O.

The new process is the successor of the old one, its predecessor. `encode` and `decode` alone know the JSON
keys, which are the protocol's: processes of different releases talk to each other, so the keys never
change.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.hot_restart.frames import JsonObject
from badgergap.hot_restart.state_transfer import GatewayIdentity, TransferredState, write_state


@dataclass(frozen=True, slots=True)
class RequestState:
    """Successor: asks for the state before it starts. No identity: what it sent cannot be read as one."""

    identity: GatewayIdentity | None


@dataclass(frozen=True, slots=True)
class ExportListener:
    """Predecessor: a component's socket, which comes as the message's descriptor."""

    name: str


@dataclass(frozen=True, slots=True)
class ExportState:
    """Predecessor: its state; the descriptor is the listening socket for clients."""

    state: TransferredState
    identity: GatewayIdentity


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """An exported state as it came; whether it can be used depends on the gateway (`read_state`)."""

    raw: JsonObject


@dataclass(frozen=True, slots=True)
class ExportClient:
    """Predecessor: a client's connection as the descriptor. No component: one of the main listener's."""

    component: str | None = None


@dataclass(frozen=True, slots=True)
class TakeClients:
    """Successor: it accepts clients from now on."""


@dataclass(frozen=True, slots=True)
class EndPredecessor:
    """Successor: the predecessor is to drain and end."""


@dataclass(frozen=True, slots=True)
class ManualDrainChanged:
    """Either: an operator has drained an endpoint, or reinstated it."""

    endpoint: str
    by: str
    drained: bool


@dataclass(frozen=True, slots=True)
class LameDuckChanged:
    """Either: an operator has made the gateway send its clients away, or take them again."""

    lame: bool


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Predecessor: the connections that it and the processes before it still hold."""

    clients: int = 0
    endpoints: int = 0


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """Something that this release does not know."""

    raw: JsonObject


Message = (
    RequestState
    | ExportListener
    | ExportState
    | ReceivedState
    | ExportClient
    | TakeClients
    | EndPredecessor
    | ManualDrainChanged
    | LameDuckChanged
    | ConnectionCounts
    | UnknownMessage
)


def encode(message: Message) -> JsonObject:
    """The JSON object that stands for a message."""
    match message:
        case RequestState(identity):
            return {"ask": identity.to_json() if identity is not None else None}
        case ExportListener(name):
            return {"listener": name}
        case ExportState(state, identity):
            return write_state(state, identity)
        case ExportClient(component):
            return {"client": component if component is not None else True}
        case TakeClients():
            return {"taking": True}
        case EndPredecessor():
            return {"end": True}
        case ManualDrainChanged(endpoint, by, drained):
            return {"hand": [endpoint, by, drained]}
        case LameDuckChanged(lame):
            return {"lame": lame}
        case ConnectionCounts(clients, endpoints):
            return {"holds": [clients, endpoints]}
        case ReceivedState(raw) | UnknownMessage(raw):
            return raw


def decode(raw: JsonObject) -> Message:
    """The message that a JSON object stands for; keys beside those that name it are ignored."""
    match raw:
        case {"listener": name}:
            return ExportListener(str(name))
        case {"will": _}:
            return ReceivedState(raw)
        case {"client": component}:
            return ExportClient(None if component is True else str(component))
        case {"ask": identity}:
            return RequestState(decode_identity(identity))
        case {"taking": True}:
            return TakeClients()
        case {"end": True}:
            return EndPredecessor()
        case {"hand": [str(endpoint), str(by), bool(drained)]}:
            return ManualDrainChanged(endpoint, by, drained)
        case {"lame": bool(lame)}:
            return LameDuckChanged(lame)
        case {"holds": [int(clients), int(endpoints)]}:
            return ConnectionCounts(max(0, clients), max(0, endpoints))
        case _:
            return UnknownMessage(raw)


def decode_identity(raw: object) -> GatewayIdentity | None:
    """None for anything but an identity."""
    match raw:
        case {"gateway": str(name), "listen": [], **rest} if not rest:
            return GatewayIdentity(name, None)
        case {"gateway": str(name), "listen": [str(host), int(port)], **rest} if not rest:
            return GatewayIdentity(name, (host, port))
        case _:
            return None
