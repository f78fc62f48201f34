"""`badgergap group` and `badgergap settings`: what they take, ask and print."""

from __future__ import annotations

import argparse
import os
import secrets
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site.read import read_site, read_tables, read_text, shared

ToGateway = Callable[[argparse.ArgumentParser], argparse.ArgumentParser]


def add_commands(commands: Any, to_gateway: ToGateway) -> None:
    """`group` and `settings` with what they do. `to_gateway` adds the options that name a gateway."""
    group = commands.add_parser("group", help="the gateways that agree with this one")
    does = group.add_subparsers(dest="do", required=True, metavar="WHAT")
    key = does.add_parser("key", help="make a new key for a group")
    key.add_argument("path", type=Path, metavar="FILE")
    sample = does.add_parser(
        "sample", help="write the files of three gateways on this machine, and their key"
    )
    sample.add_argument("path", type=Path, metavar="FOLDER")
    status = to_gateway(does.add_parser("status", help="each member, and one `ok` for the whole"))
    status.add_argument("--json", action="store_true", help="as JSON, for programs")
    for do, text in (
        ("add", "let in a member that was taken out, or let one that learns vote"),
        ("remove", "take a member out"),
        ("replace", "make a member that came back empty the voter that it was"),
    ):
        to_gateway(does.add_parser(do, help=text)).add_argument("name", metavar="NAME")
    force = to_gateway(does.add_parser("force", help="go on alone: a majority is lost for good"))
    force.add_argument("--yes", action="store_true", help="the others are gone, and will come back empty")

    settings = commands.add_parser("settings", help="the settings that a group agrees on")
    does = settings.add_subparsers(dest="do", required=True, metavar="WHAT")
    publish = to_gateway(does.add_parser("publish", help="make a file's settings the group's"))
    publish.add_argument("path", type=Path, metavar="FILE", help="an operator file; its own tables are left")
    rollback = to_gateway(does.add_parser("rollback", help="make an earlier version's settings the newest"))
    rollback.add_argument("version", type=int, metavar="N")
    for command in (publish, rollback):
        command.add_argument("--reason", default="", help="for the history")
        command.add_argument("--by", default="", help="who wishes it (default: your user name)")
        command.add_argument("--parent", type=int, help="refuse if another version has come since this one")
    show = to_gateway(does.add_parser("show", help="the settings of a version, as TOML"))
    show.add_argument("version", type=int, nargs="?", metavar="N")
    to_gateway(does.add_parser("history", help="the versions, newest last"))
    diff = to_gateway(does.add_parser("diff", help="what differs, and what contradicts"))
    diff.add_argument("a", type=int, metavar="A")
    diff.add_argument("b", type=int, metavar="B")
    wait = to_gateway(does.add_parser("wait", help="until a version is in force at all who act"))
    wait.add_argument("version", type=int, metavar="N")
    for command in (publish, rollback, wait):
        command.add_argument("--within", type=float, default=20.0, metavar="SECONDS")


def arguments_of(args: argparse.Namespace, by: str) -> tuple[str, dict[str, Any]]:
    """The call of the admin socket, and what goes with it. Raises ConfigError."""
    given: dict[str, Any] = {}
    if args.command == "group":
        if args.do in ("add", "remove", "replace"):
            return "change", {"name": args.name, "do": args.do}
        if args.do == "force" and not args.yes:
            raise ConfigError("`group force` loses what only the others hold: say --yes if they are gone")
        return args.do, {}
    if args.do == "publish":
        read_site(args.path)
        given["tables"] = shared(read_tables(read_text(args.path), str(args.path)))
    if args.do in ("publish", "rollback"):
        given |= {"by": args.by or by, "reason": args.reason}
        if args.parent is not None:
            given["parent"] = args.parent
    if args.do in ("rollback", "show", "wait") and args.version is not None:
        given["version"] = args.version
    if args.do == "diff":
        given |= {"a": args.a, "b": args.b}
    if args.do in ("publish", "rollback", "wait"):
        given["within_s"] = args.within
    return args.do, given


def words(op: str, result: Mapping[str, Any]) -> tuple[str, bool]:
    """What is printed, and whether all is as wished."""
    match op:
        case "status":
            return _status(result), bool(result["ok"])
        case "publish" | "rollback" | "wait":
            force = "in force at all who act" if result["in_force"] else str(result["not"])
            kind = "" if result.get("contradicts", True) else ", contradicts nothing"
            return f"version {result['version']}{kind}: {force}", bool(result["in_force"])
        case "show":
            import tomli_w

            return tomli_w.dumps(result["tables"]).rstrip(), True
        case "history":
            lines = [
                f"{head['number']:6} {head['digest']} {'contradicts' if head['contradicts'] else '':11} "
                f"{head['kind']:8} {head['author']}: {head['what'] or head['reason']}"
                for head in result["versions"]
            ]
            return "\n".join([*lines, f"this gateway acts on version {result['acting']}"]), True
        case "diff":
            contradicting = [f"contradicts: {line}" for line in result["contradictions"]]
            return "\n".join([*result["changes"], *contradicting]) or "no difference", True
    return "done", True


def _status(result: Mapping[str, Any]) -> str:
    lines = [
        f"group {result.get('group') or 'not founded'}: {'ok' if result['ok'] else 'NOT OK'}; "
        f"leader {result.get('leader') or 'none'}, newest version {result.get('newest', 0)}, "
        f"{result.get('me', '?')} acts on {result.get('acting', 0)}",
        f"{'member':16} {'role':8} {'version':>8} {'acts on':>8} {'lease ms':>9} {'heard ms':>9} "
        f"{'log bytes':>10}",
    ]
    for member in result["members"]:
        heard = "never" if member["heard_ms"] < 0 else str(member["heard_ms"])
        lines.append(
            f"{member['name']:16} {member['role']:8} {member['has']:8} {member['acts']:8} "
            f"{member['lease_ms']:9} {heard:>9} {member['log_bytes']:10}"
        )
    lines += [f"- {why}" for why in result["why"]]
    return "\n".join(lines)


def make_key(path: Path) -> None:
    """Raises ConfigError."""
    try:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        with os.fdopen(file, "w") as writer:
            writer.write(secrets.token_hex(32) + "\n")
    except OSError as error:
        raise ConfigError(f"{path} cannot be made: {error.strerror}") from None


SAMPLE = """\
# Gateway {name} of three on this machine. docs/operators/agreement.md
[site]
name = "gw-{name}"
admin = "{name}.sock"
state = "state-{name}"

[http]
listen = "127.0.0.1:{http}"

[group]
name = "{name}"
listen = "127.0.0.1:{peer}"
key = "group.key"
{members}
[copies]
[changes]

# From here on the group's word counts, once it has agreed on something.
[[class]]
name = "pages"
wanted_within = "1s"
given_up_after = "10s"
repeats = "by-method"

[[class]]
name = "slips"
wanted_within = "1s"
given_up_after = "10s"

[[route]]
name = "everything"
class = "pages"

# A request with an Idempotency-Key runs once: docs/operators/copies.md
[[route]]
name = "slips"
methods = ["POST"]
class = "slips"
once = "10min"

[[box]]
name = "box-1"
address = "127.0.0.1:9001"

[[box]]
name = "box-2"
address = "127.0.0.1:9002"
"""


def write_sample(folder: Path) -> str:
    """Three operator files and their key; what to do with them. Raises ConfigError."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        members = "".join(
            f'[[group.member]]\nname = "{name}"\naddress = "127.0.0.1:{7101 + number}"\n'
            f'zone = "rack-{number + 1}"\n'
            for number, name in enumerate("abc")
        )
        for number, name in enumerate("abc"):
            with (folder / f"{name}.toml").open("x") as file:
                file.write(SAMPLE.format(name=name, http=8081 + number, peer=7101 + number, members=members))
    except OSError as error:
        raise ConfigError(f"{error.filename} cannot be made: {error.strerror}") from None
    make_key(folder / "group.key")
    return "\n".join(f"badgergap serve {folder / name}.toml" for name in "abc")
