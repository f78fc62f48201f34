"""`badgergap change`: what it takes, asks and prints."""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site.read import read_site, read_tables, read_text, shared

ToGateway = Callable[[argparse.ArgumentParser], argparse.ArgumentParser]
STEERS = {
    "pause": "take no further members, and judge no more",
    "resume": "go on where it was paused",
    "stop": "have all act on the old settings at once",
    "undo": "have all act on the old settings, as the change file says",
}


def add_commands(commands: Any, to_gateway: ToGateway) -> None:
    change = commands.add_parser("change", help="new settings for a group, stage by stage, undone when worse")
    does = change.add_subparsers(dest="do", required=True, metavar="WHAT")
    for do, text in (
        ("check", "what each stage would touch, and what stands against it"),
        ("start", "begin it"),
    ):
        command = to_gateway(does.add_parser(do, help=text))
        command.add_argument("path", type=Path, metavar="FILE", help="the change file, TOML")
        if do == "start":
            command.add_argument("--by", default="", help="who wishes it (default: your user name)")
    status = to_gateway(does.add_parser("status", help="how far it is, and what its guards say"))
    status.add_argument("--json", action="store_true", help="as JSON, for programs")
    for do, text in STEERS.items():
        to_gateway(does.add_parser(do, help=text)).add_argument("--by", default="", help="who wishes it")
    to_gateway(does.add_parser("history", help="the changes there were, newest last"))
    report = to_gateway(does.add_parser("report", help="the last change as one HTML page"))
    report.add_argument("path", type=Path, metavar="FILE", help="to write; it must not be there")


def arguments_of(args: argparse.Namespace, by: str) -> tuple[str, dict[str, Any]]:
    """The call of the admin socket, and what goes with it. Raises ConfigError."""
    if args.do in STEERS:
        return "change_steer", {"do": args.do, "by": args.by or by}
    if args.do in ("status", "report"):
        return "change_status", {}
    if args.do == "history":
        return "change_history", {}
    import msgspec

    from badgergap.rollout.errors import InvalidPlanError
    from badgergap.rollout.plan import read_plan

    try:
        plan, found = read_plan(read_text(args.path), str(args.path))
    except InvalidPlanError as error:
        raise ConfigError(str(error)) from None
    settings = args.path.parent / found.settings
    read_site(settings)
    given: dict[str, Any] = {
        "plan": msgspec.to_builtins(plan),
        "tables": shared(read_tables(read_text(settings), str(settings))),
    }
    if args.do == "start":
        given |= {"by": args.by or by, "reason": found.reason}
    return f"change_{args.do}", given


def words(op: str, result: Mapping[str, Any]) -> tuple[str, bool]:
    """What is printed, and whether all is as wished."""
    match op:
        case "change_check":
            return _check(result), not result["why"]
        case "change_start":
            return f"{result['name']} has begun: `badgergap change status`", True
        case "change_steer":
            return f"{result['name']}: done", True
        case "change_history":
            lines = [_line(change) for change in result["changes"]]
            return "\n".join(lines) or "there was none", True
    return _status(result), True


def _check(result: Mapping[str, Any]) -> str:
    lines = [f"cannot: {why}" for why in result["why"]] + list(result["split"])
    for number, stage in enumerate(result["stages"]):
        least = stage["least_s"]
        names = ", ".join(stage["members"])
        lines.append(f"stage {number + 1}: {names}; {least / 60:.1f} min at the least at today's load")
    lines += [f"blind: {line}" for line in result["blind"]]
    lines += [f"meanwhile gateways differ: {line}" for line in result["differs"]]
    return "\n".join(lines)


def _line(change: Mapping[str, Any]) -> str:
    at = time.strftime("%Y-%m-%d %H:%M", time.localtime(change["events"][0][0])) if change["events"] else ""
    why = f": {change['why']}" if change["why"] else ""
    return f"{at}  {change['name']} by {change['by']}: {change['phase']}{why}"


def _status(result: Mapping[str, Any]) -> str:
    change = result["change"]
    if change is None:
        return "there is no change"
    lines = [
        f"{change['name']}: {change['phase']}, stage {change['stage']} of {len(change['stages'])}",
        f"act on the new settings: {', '.join(change['told']) or 'nobody by the change'}",
    ]
    if change["why"]:
        lines.append(f"why: {change['why']}")
    for name, stand in result["stands"].items():
        what = "acts on it" if stand["treated"] else "untouched"
        lines.append(f"  {name:16} {what}{': ' + stand['failed'] if stand['failed'] else ''}")
    lines += [f"  {_reading(reading)}" for reading in result["readings"]]
    if change["under_way"] and not result["readings"]:
        lines.append(
            f"figures: at the leader, {result['leader'] or 'which is not known'}, while a stage is judged"
        )
    for at, text in change["events"][-12:]:
        lines.append(f"{time.strftime('%H:%M:%S', time.localtime(at))}  {text}")
    return "\n".join(lines)


def _reading(reading: Mapping[str, Any]) -> str:
    seen = f"{reading['requests']} requests in {reading['blocks']} blocks"
    why = f": {reading['why']}" if reading["why"] else ""
    return f"{reading['guard']:24} {reading['verdict']:6} {seen}{why}"
