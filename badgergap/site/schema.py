"""What an operator file may hold. Every key with its unit, range and default stands here and nowhere else."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Any, Literal

import msgspec

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|min|h)")
UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
LONGEST_US = 24 * UNITS_US["h"]

NAME_ALLOWED = 'a name of up to 64 letters, digits, ".", "_" or "-"'
DURATION_ALLOWED = 'a duration in quotes, such as "500ms", "1.2s" or "2min", up to "24h"'
ADDRESS_ALLOWED = 'an address in quotes, such as "127.0.0.1:8080" or "[::1]:8080"'


class Duration(int):
    """Microseconds; written with its unit."""


class Name(str):
    """What boxes, classes, zones and kinds are called."""


class Address(str):
    """`host:port` with an IP address or localhost as host: nothing is looked up."""

    @property
    def pair(self) -> tuple[str, int]:
        host, _, port = self.rpartition(":")
        return host.strip("[]"), int(port)


def parse_duration(text: object) -> Duration:
    """Microseconds of a text such as "1.5s". Raises ValueError."""
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(DURATION_ALLOWED)
    value = float(match[1]) * UNITS_US[match[2]]
    if value > LONGEST_US:
        raise ValueError(DURATION_ALLOWED)
    return Duration(round(value))


def parse_name(text: object) -> Name:
    if not isinstance(text, str) or NAME.fullmatch(text) is None:
        raise ValueError(NAME_ALLOWED)
    return Name(text)


def parse_address(text: object) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isascii() or not port.isdigit() or not int(port) < 65_536:
        raise ValueError(ADDRESS_ALLOWED)
    if host != "localhost":
        bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
        try:
            version = ipaddress.ip_address(bare).version
        except ValueError:
            raise ValueError(ADDRESS_ALLOWED) from None
        if (version == 6) is (bare == host):  # brackets round what has colons of its own, and nothing else
            raise ValueError(ADDRESS_ALLOWED)
    return Address(text)


class Size(int):
    """Bytes; written with their unit."""


SIZE = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(B|kB|MB|GB)")
UNITS_BYTES = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
LARGEST = 1 << 50
SIZE_ALLOWED = 'a size in quotes, such as "64kB", "10MB" or "2GB"'


def parse_size(text: object) -> Size:
    """Bytes of a text such as "10MB". Raises ValueError."""
    match = SIZE.fullmatch(text) if isinstance(text, str) else None
    if match is None or float(match[1]) * UNITS_BYTES[match[2]] > LARGEST:
        raise ValueError(SIZE_ALLOWED)
    return Size(round(float(match[1]) * UNITS_BYTES[match[2]]))


class Network(str):
    """An IP address, or a range of them such as 10.0.0.0/8."""


def parse_network(text: object) -> Network:
    try:
        return Network(ipaddress.ip_network(text if isinstance(text, str) else "", strict=True))
    except ValueError:
        raise ValueError('an IP address or network in quotes, such as "10.0.0.7" or "10.0.0.0/8"') from None


def decode(kind: type, value: Any) -> Any:
    """msgspec's hook for the types above."""
    parsers = {
        Duration: parse_duration,
        Name: parse_name,
        Address: parse_address,
        Size: parse_size,
        Network: parse_network,
    }
    return parsers[kind](value)


Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Path = Annotated[str, msgspec.Meta(min_length=1, max_length=4096)]


class SiteTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    name: Name
    listen: Address | None = (
        None  # for the platform's clients; None: 127.0.0.1:8080, or not at all with [http]
    )
    admin: Path | None = None  # Unix socket of console and commands; None: the user's own default
    state: Path | None = None  # folder for what outlives a restart; None: nothing does
    # A second process of this file takes over from the first, which stands by for so long. None: it cannot.
    handover: Duration | None = None
    zone: Name | None = None  # where this gateway stands
    discovery: Address | None = None  # a registry to follow, beside the boxes of this file
    console: Address | None = None  # where operators' scripts call; whoever reaches it may


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    sockets: Annotated[int, msgspec.Meta(ge=128, le=1_000_000)] = 1024
    open_requests: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 2000  # 0: no limit of its own
    attempts: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    second_copies: bool = False
    retry_after_longest: Duration = Duration(1_000_000)


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What is true of all boxes."""

    connect_within: Duration = Duration(1_000_000)
    idle_connections: Duration = Duration(5_000_000)
    cancels: bool = True  # a box drops work whose connection closes
    full_means_untouched: bool = True  # 503 with Not-Started: never ran
    start_capacity: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 1.0
    warm_after: Duration = Duration(0)
    overload_multiple: Annotated[float, msgspec.Meta(ge=1.0, le=100.0)] = 4.0
    overload_within: Duration = Duration(3_000_000)
    prefer_own_zone: bool = False
    ca: Path | None = None  # boxes speak TLS, with certificates that this authority signs
    certificate_name: Annotated[str, msgspec.Meta(min_length=1, max_length=255)] | None = (
        None  # None: their address
    )
    http3: bool = False  # boxes may be spoken to over HTTP/3: those with `protocol = "h3"`
    at_once: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1  # requests that a box works on at a time


class ClassTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    name: Name
    wanted_within: Duration
    given_up_after: Duration
    worth: Annotated[float, msgspec.Meta(ge=0.0, le=1_000_000.0)] = 1.0
    late_worth: Share | None = None  # None: 0, and 0.5 of "by-method"
    repeats: Literal["safe", "keyed", "unsafe", "by-method"] = "unsafe"
    repeats_dropped_for: Duration = Duration(60_000_000)  # of "keyed"
    repeats_dropped_by: Literal["all", "zone"] = "all"  # of "keyed": boxes that share what they remember


class BoxTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    name: Name
    address: Address
    zone: Name | None = None
    kind: Name | None = None
    pool: Name | None = None  # None: the main one
    protocol: Literal["http/1.1", "h3"] = "http/1.1"
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 1.0


class HttpTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Ordinary HTTP for clients, by the routes of this file."""

    listen: Address = Address("127.0.0.1:8080")
    trusted_proxies: Annotated[list[Network], msgspec.Meta(max_length=64)] = msgspec.field(
        default_factory=list
    )
    head_within: Duration = Duration(10_000_000)
    body_within: Duration = Duration(300_000_000)
    between_bytes: Duration = Duration(60_000_000)
    unread_within: Duration = Duration(60_000_000)
    idle_connections: Duration = Duration(60_000_000)
    quiet_tunnels: Duration = Duration(3_600_000_000)
    end_within: Duration = Duration(10_000_000)
    upload_limit: Size = Size(10_000_000)


class HttpsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The same over TLS. Needs the extra `tls`."""

    listen: Address
    least_version: Literal["1.2", "1.3"] = "1.2"
    client_ca: Path | None = None  # clients are asked for a certificate signed by it
    handshake_within: Duration = Duration(10_000_000)


class Http3Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The same over QUIC (UDP), with the certificates of [https]. Needs the extra `http3`."""

    listen: Address
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 256
    streams: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 64  # requests at a time on a connection
    early_data: Literal["never", "safe"] = "never"  # "safe": what may be repeated, in a client's first flight


class CertificateTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A chain and its key, PEM; for the names that the certificate says."""

    certificate: Path
    key: Path


Failing = Annotated[str, msgspec.Meta(pattern="^[1-5](xx|[0-9][0-9])$")]
Method = Annotated[str, msgspec.Meta(pattern="^[A-Z][A-Z-]{0,31}$")]
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1_000_000.0)]


class RouteTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Which requests, and what becomes of them."""

    name: Name
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=255)] | None = None
    path: Path | None = None  # exactly this one
    prefix: Path | None = None  # this one and what lies below; None, with no path either: everything
    methods: Annotated[list[Method], msgspec.Meta(max_length=32)] = msgspec.field(default_factory=list)
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=16)] = msgspec.field(default_factory=dict)
    klass: Name = msgspec.field(name="class")
    pool: Name | None = None
    pools: dict[str, Weight] | None = None  # several, each with its weight
    spare: Name | None = None
    tenant: Name | None = None  # whose requests these are: told to the box, counted apart
    take_off: Path | None = None
    put_before: Path | None = None
    client_certificate: Literal["any", "required"] = "any"
    answer_within: Duration | None = None  # None: the class's given_up_after
    between_bytes: Duration | None = None  # None: that of [http]
    whole_within: Duration | None = None  # for request and answer together; None: as long as both sides go on
    upload_limit: Size | None = None  # None: that of [http]
    join: bool = False  # GET and HEAD that are the same, at the same time, share one request to a box
    once: Duration | None = None  # what a request with an Idempotency-Key did is kept so long; needs [copies]
    failing: Annotated[list[Failing], msgspec.Meta(max_length=64)] = msgspec.field(
        default_factory=lambda: ["5xx"]
    )


class PoolTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Boxes apart from the main ones, with decisions of their own."""

    name: Name
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 1.0  # of what pools divide
    discovery: Address | None = None
    etcd_prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=256)] | None = None
    ca: Path | None = None  # its boxes speak TLS, with certificates that this authority signs
    certificate_name: Annotated[str, msgspec.Meta(min_length=1, max_length=255)] | None = (
        None  # None: their address
    )


class EtcdTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Boxes that an etcd names under a prefix. A relative path is taken from the operator file's folder."""

    endpoints: Annotated[list[Address], msgspec.Meta(min_length=1, max_length=16)]
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=256)] = "/boxes/"
    boxes_of_this_file: Literal["until-heard", "beside"] = "until-heard"
    ca: Path | None = None  # certificates that its members are verified by; None: no TLS
    certificate: Path | None = None  # of this gateway, with `key`
    key: Path | None = None
    user: Annotated[str, msgspec.Meta(min_length=1, max_length=256)] | None = None
    password_file: Path | None = None
    password_env: Annotated[str, msgspec.Meta(min_length=1, max_length=256)] | None = None
    call_within: Duration = Duration(2_000_000)
    silent_after: Duration = Duration(1_500_000)


class MemberTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A gateway of the group; the one that is called like this gateway says what this one is itself."""

    name: Name
    address: Address  # how this gateway reaches it
    zone: Name | None = None
    votes: bool = True


class GroupTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Gateways that agree on their settings. Needs the extra `group` and site.state."""

    name: Name  # of this member
    listen: Address  # for the other members only
    key: Path  # a file for its owner's eyes only, the same at all members
    contradiction: Duration = Duration(3_000_000)  # the longest that two act on rules that contradict
    alone: Literal["refuse", "serve"] = "refuse"  # "serve": also out of touch, and then without that bound
    lists: Literal["own", "leader"] = "own"  # "leader": one follows discovery or etcd for all
    members: Annotated[list[MemberTable], msgspec.Meta(min_length=1, max_length=256)] = msgspec.field(
        name="member"
    )


class CopiesTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What this gateway holds for others is copied to members of its group. Needs [group]."""

    copies: Annotated[int, msgspec.Meta(ge=1, le=7)] = 3  # of each record; the leader's word counts
    records: Annotated[int, msgspec.Meta(ge=100, le=10_000_000)] = 200_000  # that this member holds
    memory: Size = Size(128_000_000)  # that they may have
    tenant_share: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.5  # of both that one tenant may have
    refill: Annotated[int, msgspec.Meta(ge=10, le=1_000_000)] = 4000  # records a second, to fill or mend


class ChangesTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """This gateway takes part in changes that go through its group by stages. Needs [group]."""


class Site(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    site: SiteTable
    limits: Limits = Limits()
    fleet: Fleet = Fleet()
    etcd: EtcdTable | None = None
    group: GroupTable | None = None
    copies: CopiesTable | None = None
    changes: ChangesTable | None = None
    http: HttpTable | None = None
    https: HttpsTable | None = None
    http3: Http3Table | None = None
    certificates: Annotated[list[CertificateTable], msgspec.Meta(max_length=256)] = msgspec.field(
        name="certificate", default_factory=list
    )
    routes: Annotated[list[RouteTable], msgspec.Meta(max_length=4096)] = msgspec.field(
        name="route", default_factory=list
    )
    pools: Annotated[list[PoolTable], msgspec.Meta(max_length=32)] = msgspec.field(
        name="pool", default_factory=list
    )
    classes: Annotated[list[ClassTable], msgspec.Meta(max_length=64)] = msgspec.field(
        name="class", default_factory=list
    )
    boxes: Annotated[list[BoxTable], msgspec.Meta(max_length=1000)] = msgspec.field(
        name="box", default_factory=list
    )
