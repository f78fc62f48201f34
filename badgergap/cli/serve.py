"""`badgergap serve` and `check`: an operator file, alone or beside the platform's configuration."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from badgergap.admin import AdminRoom, Figures
from badgergap.cli.etcd import etcd_room
from badgergap.cli.setup import Setup
from badgergap.proxy.lifecycle.component import Component, HotRestartFactory
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.lifecycle.process import log_to_stderr, run
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Observer
from badgergap.site import SiteRoom
from badgergap.site.web import never

if TYPE_CHECKING:
    from badgergap.consensus.service import GroupService
    from badgergap.ordinary.turn import Guard

log = logging.getLogger(__name__)


def serve(path: Path, environ: Mapping[str, str], until_stdin_ends: bool = False) -> int:
    """Run until told to end; returns the exit code. Raises ConfigError for files that cannot be used."""
    log_to_stderr()
    setup = Setup(path, environ)
    if setup.overruled:
        log.info("the platform's configuration overrules %s of %s", ", ".join(setup.overruled), path)
    config, store = setup.config, setup.store
    aims = (klass.objective_us for klass in config.settings.classes)
    figures = Figures(tuple(zip(config.names.classes, aims, strict=True)), config.names.tenants)
    admin = AdminRoom(setup.socket, config, figures, store)
    rooms: list[Component] = [SiteRoom(lambda: setup.site, store), admin]
    observer: Observer = figures
    if setup.site.etcd is not None:
        rooms.insert(1, etcd_room(setup.site.etcd, path.parent, environ))
    group: GroupService | None = None
    if setup.site.group is not None:
        group = join_group(setup, admin)
        rooms.append(group)
    guard = keep_copies(setup, group, admin, rooms) if setup.site.copies is not None else None
    if setup.site.changes is not None:
        observer = take_part(group, admin, rooms, figures)
    if setup.site.http is not None:
        from badgergap.cli.web import web_room

        web, tls = web_room(setup, environ, observer)
        web.once = guard
        if group is not None:
            group.proxies = web.proxies
        rooms.append(web)
        admin.further = web.proxies
        admin.joins = web.joined
        if tls is not None:
            admin.notices.append(tls.certificates.problems)
            if setup.site.http3 is not None:
                from badgergap.cli.h3 import http3_room

                rooms.append(http3_room(setup, web, tls))
    if setup.site.fleet.ca is not None:
        rooms.append(fleet_tls(setup))
    if until_stdin_ends:
        rooms.append(Lifeline())
    return run(
        config, setup.read_again, rooms, observer, make_hot_restart=hot_restart_factory(setup, environ)
    )


def hot_restart_factory(setup: Setup, environ: Mapping[str, str]) -> HotRestartFactory | None:
    """What a second process of this gateway takes over by; it is not loaded before it is on."""
    handover = setup.site.site.handover
    if handover is None and (setup.config.console is None or setup.config.listen is None):
        return None
    from badgergap.hot_restart.coordinator import HotRestartCoordinator
    from badgergap.hot_restart.environment import coordinator_from_environment
    from badgergap.hot_restart.rendezvous import Rendezvous

    if handover is None:
        return partial(coordinator_from_environment, environ)
    assert setup.store is not None  # the file was checked
    folder, stands_by_s = setup.store.folder, handover / 1e6

    def make_hot_restart(config: Config) -> HotRestartCoordinator:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        return HotRestartCoordinator(Rendezvous(folder), config, None, stands_by_s)

    return make_hot_restart


def join_group(setup: Setup, admin: AdminRoom) -> GroupService:
    """Raises ConfigError."""
    try:
        from badgergap.cli.group import group_room
    except ModuleNotFoundError as error:
        why = f"{error.name} is missing: pip install 'badgergap[group]'"
        raise ConfigError(f"[group] needs its extra, {why}") from None
    room, admin.group = group_room(setup)
    room.on_alert = admin.tell
    admin.notices.append(room.problems)
    return room


def keep_copies(setup: Setup, group: GroupService | None, admin: AdminRoom, rooms: list[Component]) -> Guard:
    """Raises ConfigError."""
    assert group is not None  # the file was checked
    try:
        from badgergap.cli.copies import WithCopies, copies_room
        from badgergap.cli.group import Asked
        from badgergap.replication.learned_state_service import LearnedStateService
    except ModuleNotFoundError as error:
        why = f"{error.name} is missing: pip install 'badgergap[copies]'"
        raise ConfigError(f"[copies] needs its extra, {why}") from None
    room, guard, calls = copies_room(setup, group)
    room.on_alert = admin.tell
    admin.notices.append(room.problems)
    assert isinstance(admin.group, Asked)
    learned_state = LearnedStateService(group, room, admin.proxies)
    calls.learned_state_line = learned_state.line
    admin.group = WithCopies(admin.group, calls)
    rooms += [room, learned_state]
    return guard


def take_part(
    group: GroupService | None, admin: AdminRoom, rooms: list[Component], figures: Figures
) -> Observer:
    """In changes that go through the group by stages. What counts for their judge. Raises ConfigError."""
    from badgergap.cli.staged import WithChanges, changes_room

    assert group is not None and admin.group is not None  # the file was checked
    room, meter, calls = changes_room(group, figures)
    room.notify = admin.tell
    admin.notices.append(room.problems)
    admin.group = WithChanges(admin.group, calls)
    rooms.append(room)
    return meter


def fleet_tls(setup: Setup) -> Component:
    """TLS to the main pool's boxes. Raises ConfigError."""
    from badgergap.cli.tls import BoxTls

    def read() -> tuple[Path, str | None]:
        fleet = setup.site.fleet
        if fleet.ca is None:
            raise ConfigError("fleet.ca has gone: that needs a restart")
        return setup.path.parent / fleet.ca, fleet.certificate_name

    return BoxTls(read)


def check(path: Path, environ: Mapping[str, str]) -> str:
    """One line on a file that can be used. Raises ConfigError."""
    setup = Setup(path, environ)
    site, config = setup.site, setup.config
    if site.etcd is not None:
        etcd_room(site.etcd, path.parent, environ)
    if site.http is not None:
        from badgergap.cli.web import web_room

        web, tls = web_room(setup, environ, None)
        if site.http3 is not None and tls is not None:
            from badgergap.cli.h3 import http3_room

            http3_room(setup, web, tls)
        notices = tls.certificates.problems() if tls is not None else []
    if site.fleet.ca is not None:
        fleet_tls(setup)
    if site.group is not None:
        from badgergap.cli.group import group_room

        group_room(setup)
    if site.copies is not None:
        from badgergap.cli.copies import folder_of, to_options

        to_options(site)
        folder_of(setup)
    listens = [config.listen] if config.listen is not None else []
    listens += [site.http.listen.pair] if site.http is not None else []
    listens += [site.https.listen.pair] if site.https is not None else []
    where = " and ".join(f"{host}:{port}" for host, port in listens)
    where += f" and UDP {site.http3.listen}" if site.http3 is not None else ""
    words = [
        f"{path}: good. {config.name} would listen on {where}",
        f"{len(config.names.classes)} classes",
        f"{len(site.boxes)} boxes",
        f"admin socket {setup.socket}",
        f"etcd {', '.join(site.etcd.endpoints)} under {site.etcd.prefix}"
        if site.etcd is not None
        else "no etcd",
        "drains by hand are kept" if setup.store is not None else "drains by hand end with the process",
    ]
    if site.http is not None:
        words.insert(1, f"{len(site.routes)} routes, {len(site.pools) + 1} pools")
        words += never(site) + notices
    if site.group is not None:
        votes = sum(member.votes for member in site.group.members)
        words.append(f"member {site.group.name} of a group of {len(site.group.members)}, {votes} vote")
    if site.copies is not None:
        once = sum(route.once is not None for route in site.routes)
        words.append(f"{site.copies.copies} copies of what {once} routes keep")
    if setup.overruled:
        words.append(f"the platform's configuration overrules {', '.join(setup.overruled)}")
    return "; ".join(words)


class Lifeline:
    """Ends the process as SIGTERM would once its standard input ends: with whoever started it."""

    def join(self, proxy: Proxy) -> None:
        """Nothing to prepare."""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(sys.stdin.fileno(), self._heard)

    def _heard(self) -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            os.kill(os.getpid(), signal.SIGTERM)

    def reload(self, config: Config) -> None:
        """Nothing to read again."""

    async def close(self) -> None:
        asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
