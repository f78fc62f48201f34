"""Applies the versions that come into force to the gateway, one at a time."""

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
    """Validates and applies settings in the gateway. Raises ConfigError for settings that cannot be used."""

    def examine(self, agreed: Mapping[str, Any]) -> None:
        """Check that the gateway could use these settings. Called off the loop."""

    def adopt(self, agreed: Mapping[str, Any], old: Config) -> Config:
        """Return the configuration with these settings. Called off the loop, one call at a time."""

    def own_tables(self) -> Mapping[str, Any]:
        """Return the same tables as this gateway's own file has them."""


class VersionLoader:
    """Loads versions in the same manner as a reload, and notifies the member when one is in force.

    `member` returns the current member, `on_loaded` is called once a version is acted on, and `settle` after
    each call that may have changed the member.
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
        self.body = ""  # the settings in use: those of a version, or their replacement from `overlay`
        self.epoch = 0  # the newest version that contradicted the settings in use when it was loaded
        # Set by a component to replace the settings at this member only.
        self.overlay: Callable[[str], str] = lambda settings: settings
        self.overlay_failed: Callable[[str], None] = lambda why: None
        self.loading: asyncio.Task[None] | None = None
        self._next: VersionContent | None = None

    def load(self, content: VersionContent) -> None:
        """Load this version, after the one that is being loaded now."""
        self._next = content
        if self.loading is None:
            self.loading = self.tasks.spawn(self._load_all())

    def refresh_overlay(self) -> None:
        """Load the settings again if `overlay` now returns other ones."""
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
        """Apply these settings to the gateway. Returns False if that failed; the failure is then handled."""
        assert self.reload is not None
        try:
            tables = decode_tables(body)
            await self.reload(lambda old: self.settings_loader.adopt(tables, old))
        except Exception as error:  # after any error this member cannot act on the agreed version
            if not isinstance(error, ConfigError):
                log.exception("version %d could not be loaded", content.number)
            await self._adoption_failed(member, content, body, str(error))
            return False
        self._adopted(content, body, tables)
        return True

    async def _adoption_failed(self, member: Member, content: VersionContent, body: str, why: str) -> None:
        if body != content.settings:
            self.overlay_failed(why)  # from now on the overlay returns the settings unchanged
            await self._load(content)
        elif member is self.member():
            member.on_load_failed(content.number, why)
            self.settle()

    def _adopted(self, content: VersionContent, body: str, tables: Mapping[str, Any]) -> None:
        is_overlay = body != content.settings
        if is_overlay or self.body not in ("", self.acting_on.settings):
            # Part of a staged rollout: both settings may be in use at once, so accepted requests go on.
            log.info("settings of a staged rollout: %s", "applied" if is_overlay else "removed")
        else:
            log.info("version %d is in force: settings %s", content.number, content.digest())
            if compatibility.contradictions(decode_tables(self.acting_on.settings), tables):
                self.epoch = content.number  # requests accepted before are sent to no endpoint any more
        self.body = body
