"""Has the gateway act on the versions that come into force, one at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from badgergap.consensus import compatibility
from badgergap.consensus.background_tasks import BackgroundTasks
from badgergap.consensus.clock import clock_us
from badgergap.consensus.member import Member
from badgergap.consensus.settings_text import decode_tables
from badgergap.consensus.versions import VersionContent
from badgergap.proxy.lifecycle.component import Reload
from badgergap.proxy.lifecycle.config import Config, ConfigError

log = logging.getLogger(__name__)


class SettingsLoader(Protocol):
    """The gateway's settings. Raises ConfigError for those that cannot be used."""

    def examine(self, agreed: Mapping[str, Any]) -> None:
        """Whether it could act on these. Called off the loop."""

    def adopt(self, agreed: Mapping[str, Any], old: Config) -> Config:
        """Called off the loop, one at a time."""

    def own_tables(self) -> Mapping[str, Any]:
        """What this gateway's own file says of the same."""


class VersionLoader:
    """Loads versions as a reload of the settings does, and reports to the member when one is in force.

    `member` gives the member as it is now, `on_loaded` is called once a version is acted on, and `settle`
    after something has happened to the member.
    """

    def __init__(
        self,
        settings_loader: SettingsLoader,
        tasks: BackgroundTasks,
        member: Callable[[], Member | None],
        on_loaded: Callable[[], None],
        settle: Callable[[], None],
    ) -> None:
        self.settings_loader = settings_loader
        self.tasks = tasks
        self.member = member
        self.on_loaded = on_loaded
        self.settle = settle
        self.reload: Reload | None = None
        self.acting_on = VersionContent()
        self.body = ""  # the settings that are acted on: of a version, or what `overlay` puts in their place
        self.epoch = 0  # the newest version whose loading contradicted what was acted on
        self.overlay: Callable[[str], str] = (
            lambda settings: settings
        )  # by a component, for this member alone
        self.overlay_failed: Callable[[str], None] = lambda why: None
        self.loading: asyncio.Task[None] | None = None
        self._next: VersionContent | None = None

    def load(self, content: VersionContent) -> None:
        """Act on this version as soon as the one that is being loaded is done."""
        self._next = content
        if self.loading is None:
            self.loading = self.tasks.spawn(self._load_all())

    def refresh_overlay(self) -> None:
        """What a component puts in place of the settings may be another now."""
        content = self.acting_on
        if content.number and self.loading is None and self.overlay(content.settings) != self.body:
            self.load(self._next or content)

    async def _load_all(self) -> None:
        try:
            while self._next is not None:
                content, self._next = self._next, None
                await self._load(content)
        finally:
            self.loading = None

    async def _load(self, content: VersionContent) -> None:
        member = self.member()
        if member is None or content.number < member.loaded_version:
            return
        body = self.overlay(content.settings)
        if content.number == member.loaded_version and body == self.body:
            return
        if body != self.body and not await self._adopt(member, content, body):
            return
        self.acting_on = content
        self.on_loaded()
        if member is self.member():
            member.on_loaded(content.number)
            member.tick(clock_us())
            self.settle()

    async def _adopt(self, member: Member, content: VersionContent, body: str) -> bool:
        """Have the gateway act on these settings; False where that failed and was dealt with."""
        assert self.reload is not None
        try:
            tables = decode_tables(body)
            await self.reload(lambda old: self.settings_loader.adopt(tables, old))
        except Exception as error:  # whatever it is, this member cannot act on what the group agreed on
            if not isinstance(error, ConfigError):
                log.exception("version %d could not be loaded", content.number)
            await self._adoption_failed(member, content, body, str(error))
            return False
        self._adopted(content, body, tables)
        return True

    async def _adoption_failed(self, member: Member, content: VersionContent, body: str, why: str) -> None:
        if body != content.settings:
            self.overlay_failed(why)  # from now on it puts nothing in their place
            await self._load(content)
        elif member is self.member():
            member.on_load_failed(content.number, why)
            self.settle()

    def _adopted(self, content: VersionContent, body: str, tables: Mapping[str, Any]) -> None:
        is_overlay = body != content.settings
        if is_overlay or self.body not in ("", self.acting_on.settings):
            # Of a change that goes by stages: both may stand side by side, what was taken goes on.
            log.info("settings of a change: %s", "taken up" if is_overlay else "left again")
        else:
            log.info("version %d is in force: settings %s", content.number, content.digest())
            if compatibility.contradictions(decode_tables(self.acting_on.settings), tables):
                self.epoch = content.number  # what was taken before goes to no endpoint any more
        self.body = body
