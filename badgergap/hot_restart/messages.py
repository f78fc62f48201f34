"""The messages between two processes of one gateway, and their wire form. Pure, no I/O.

The new process is the successor, the old one its predecessor. Only `encode` and `decode` use the JSON keys of
messages. The keys never change, because the two processes may be of different releases.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.hot_restart.frames import JsonObject
from badgergap.hot_restart.state_transfer import (
    GatewayIdentity,
    TransferredState,
    read_discovery,
    write_discovery,
    write_state,
)
from badgergap.proxy.endpoints.discovery import EndpointNews
from badgergap.proxy.lifecycle.discovery_origin import DiscoveryOrigin


@dataclass(frozen=True, slots=True)
class RequestState:
    """From the successor, before it starts: requests the state.

    `identity` is None if the identity in the message is malformed.
    """

    identity: GatewayIdentity | None


@dataclass(frozen=True, slots=True)
class ExportListener:
    """From the predecessor: a component's listening socket, sent as the message's descriptor."""

    name: str


@dataclass(frozen=True, slots=True)
class ExportState:
    """From the predecessor: its state. The descriptor is the main listening socket, if there is one."""

    state: TransferredState
    identity: GatewayIdentity


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """An exported state as received; `read_state` checks whether this gateway can use it."""

    raw: JsonObject


@dataclass(frozen=True, slots=True)
class ExportClient:
    """From the predecessor: a client's connection, sent as the descriptor.

    `component` is None for a connection of the main listener.
    """

    component: str | None = None


@dataclass(frozen=True, slots=True)
class TakeClients:
    """From the successor: it accepts clients from now on."""


@dataclass(frozen=True, slots=True)
class EndPredecessor:
    """From the successor: requests that the predecessor drains and exits."""


@dataclass(frozen=True, slots=True)
class ManualDrainChanged:
    """From either process: an operator drained or reinstated an endpoint."""

    endpoint: str
    by: str
    drained: bool


@dataclass(frozen=True, slots=True)
class LameDuckChanged:
    """From either process: an operator put the gateway into the lame-duck state, or ended that state."""

    lame: bool


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """From either process: discovery has reported a newer version of the endpoint list."""

    news: EndpointNews


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """From either process: it follows discovery at another address."""

    origin: DiscoveryOrigin


@dataclass(frozen=True, slots=True)
class RequestsTaken:
    """From either process: the ids of requests that it has taken, and that must not run again."""

    request_ids: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """From the predecessor: the connections that it and older processes still hold."""

    clients: int = 0
    endpoints: int = 0


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A message that this release does not support."""

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
    | EndpointsChanged
    | DiscoveryMoved
    | RequestsTaken
    | ConnectionCounts
    | UnknownMessage
)


def encode(message: Message) -> JsonObject:
    """Return the wire form of a message."""
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
        case EndpointsChanged(news):
            return {"news": news.raw, "of": list(news.address), "after": news.after}
        case DiscoveryMoved(origin):
            return {"moved": write_discovery(origin)}
        case RequestsTaken(request_ids):
            return {"taken": [request_id.decode("latin-1") for request_id in request_ids]}
        case ConnectionCounts(clients, endpoints):
            return {"holds": [clients, endpoints]}
        case ReceivedState(raw) | UnknownMessage(raw):
            return raw


def decode(raw: JsonObject) -> Message:
    """Return the message of a JSON object; keys that its type does not define are ignored."""
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
        case {"news": dict(raw_list), "of": [str(host), int(port)], "after": int(after)}:
            return EndpointsChanged(EndpointNews((host, port), after, raw_list))
        case {"moved": moved} if (origin := read_discovery(moved)) is not None:
            return DiscoveryMoved(origin)
        case {"taken": [*request_ids]}:
            texts = (each for each in request_ids if isinstance(each, str))
            return RequestsTaken(tuple(each.encode("latin-1", "replace") for each in texts))
        case {"holds": [int(clients), int(endpoints)]}:
            return ConnectionCounts(max(0, clients), max(0, endpoints))
        case _:
            return UnknownMessage(raw)


def decode_identity(raw: object) -> GatewayIdentity | None:
    """Return the identity in a `RequestState` message, or None if it is malformed."""
    match raw:
        case {"gateway": str(name), "listen": [], **rest} if not rest:
            return GatewayIdentity(name, None)
        case {"gateway": str(name), "listen": [str(host), int(port)], **rest} if not rest:
            return GatewayIdentity(name, (host, port))
        case _:
            return None
