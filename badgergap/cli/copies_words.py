"""`badgergap copies`: what it takes, asks and prints."""

from __future__ import annotations

import argparse
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from badgergap.cli.group_words import ToGateway
from badgergap.proxy.lifecycle.config import ConfigError


def add_commands(commands: Any, to_gateway: ToGateway) -> None:
    copies = commands.add_parser("copies", help="what this group's gateways hold for others, and its copies")
    does = copies.add_subparsers(dest="do", required=True, metavar="WHAT")
    status = to_gateway(does.add_parser("status", help="each seat, parts and their copies, and one `ok`"))
    status.add_argument("--json", action="store_true", help="as JSON, for programs")
    find = to_gateway(does.add_parser("find", help="what is kept of an Idempotency-Key"))
    settle = to_gateway(does.add_parser("settle", help="say of a key in doubt whether it ran"))
    said = settle.add_mutually_exclusive_group(required=True)
    said.add_argument("--ran", action="store_true", help="it did: a repetition hears that, and runs nothing")
    said.add_argument("--never", action="store_true", help="it did not: a repetition runs")
    for command in (find, settle):
        command.add_argument("key", metavar="KEY")
        command.add_argument("--route", help="of this route only")
    for do, text in (
        ("save", "write a snapshot of one instant to a file of the gateway's machine"),
        ("verify", "read a snapshot whole, and say what it holds; needs no gateway"),
        ("restore", "put a snapshot into a new group, never into a living one"),
    ):
        command = does.add_parser(do, help=text)
        command.add_argument("path", type=Path, metavar="FILE")
        if do != "verify":
            to_gateway(command)


def arguments_of(args: argparse.Namespace) -> tuple[str, dict[str, Any]]:
    """The call of the admin socket, and what goes with it."""
    given: dict[str, Any] = {}
    if args.do in ("find", "settle"):
        given = {"key": args.key}
        if args.route is not None:
            given["route"] = args.route
    if args.do == "settle":
        given["ran"] = bool(args.ran)
    if args.do in ("save", "restore"):
        given["path"] = str(args.path.absolute())
    return f"copies.{args.do}", given


def verify(path: Path) -> str:
    """One line on a snapshot. Raises ConfigError for one that cannot be used."""
    from badgergap.replication import snapshot

    try:
        found = snapshot.verify(path)
    except snapshot.BadSnapshotError as error:
        raise ConfigError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from None
    head = found.head
    return f"{path}: good. {found.count} records of the group {head.group}, epoch {head.epoch}"


def words(op: str, result: Mapping[str, Any]) -> tuple[str, bool]:
    """What is printed, and whether all is as wished."""
    match op:
        case "copies.status":
            return _status(result), bool(result["ok"])
        case "copies.save":
            return f"{result['path']}: {result['records']} records, {result['bytes']} bytes", True
        case "copies.restore":
            lines = [f"{result['records']} of {result['of']} records restored"]
            return "\n".join([*lines, *(f"- not: {why}" for why in result["not"])]), not result["not"]
    if not result["found"]:
        return f"nothing is kept of the key {result['key']}: no box was sent a request with it", True
    return "\n".join(_record(found) for found in result["found"]), True


def _record(found: Mapping[str, Any]) -> str:
    state = {
        "begun": f"under way at {found['owner']}, or it was when that was last heard",
        "free": "it never ran: a repetition runs",
        "done": f"done, status {found['status']}"
        + (f", {found['answer_bytes']} bytes kept" if found["answer_kept"] else ", its answer is not kept"),
        "doubt": "IN DOUBT: it may have run",
    }[found["state"]]
    tenant = f" of {found['tenant']}" if found["tenant"] else ""
    boxes = f"; sent to {', '.join(found['boxes'])}" if found["boxes"] else ""
    return (
        f"route {found['route']}{tenant}: {state}{boxes}; begun {found['begun_s_ago']} s ago by "
        f"{found['owner']}, kept {found['kept_s_more']} s more at {', '.join(found['at'])}"
    )


def _status(result: Mapping[str, Any]) -> str:
    parts = ", ".join(f"{count} in {copies}" for copies, count in result["parts"].items())
    lines = [
        f"copies: {'ok' if result['ok'] else 'NOT OK'}; epoch {result['epoch']}"
        f"{' (moving)' if result['moving'] else ''}, {result['copies']} copies wanted; "
        f"parts by copies: {parts}",
        f"{'seat':16} {'zone':10} {'records':>8} {'bytes':>11} {'behind':>7} {'scrubbed':>9} {'mended':>7}",
    ]
    for seat in result["seats"]:
        scrubbed = "never" if seat["scrubbed_s"] < 0 else f"{seat['scrubbed_s']} s"
        lines.append(
            f"{seat['name']:16} {seat['zone'] or '-':10} {seat['records']:8} {seat['bytes']:11} "
            f"{seat['behind']:7} {scrubbed:>9} {seat['mended']:7}{'' if seat['there'] else '  AWAY'}"
        )
    if result["in_doubt"]:
        lines.append(f"in doubt: {result['in_doubt']} at one seat")
    if result.get("learnt"):
        lines.append(result["learnt"])
    lines += [f"- {why}" for why in result["why"]]
    return "\n".join(lines)
