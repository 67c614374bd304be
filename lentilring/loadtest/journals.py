"""Journals of the database stand-ins, copied into the request log during a run."""

import asyncio

import aiohttp

from .records import JournalEntry, LogWriter, ServerLog
from .scenario import Scenario

# A killed stand-in loses its journal, so it is read throughout the run.
POLL_S = 1.0
TIMEOUT_S = 2.0
# Reads are most of a journal and no check needs them.
CHECKED_ACTIONS = frozenset({"write", "commit"})


class JournalReader:
    """Copy new journal entries of writes and commits into the log."""

    def __init__(
        self, *, http: aiohttp.ClientSession, scenario: Scenario, writer: LogWriter
    ) -> None:
        self._http = http
        self._writer = writer
        self._admins = {
            name: server.admin
            for name, server in scenario.backend_servers.items()
            if server.admin is not None
        }
        self._databases = {name: s.database for name, s in scenario.backend_servers.items()}
        self._read = dict.fromkeys(self._admins, 0)

    async def poll_forever(self) -> None:
        """Copy new entries every second."""
        while True:
            await asyncio.sleep(POLL_S)
            await asyncio.gather(*(self._copy(name) for name in self._admins))

    async def read_all(self) -> None:
        """Copy the last entries and where the terms of each server's log begin."""
        for name in self._admins:
            await self._copy(name)
            await self._copy_terms(name)

    async def _copy(self, server: str) -> None:
        while True:
            entries = await self._get(server, f"/journal?after={self._read[server]}")
            if not entries:
                return
            self._read[server] += len(entries)
            for entry in entries:
                if entry["action"] in CHECKED_ACTIONS:
                    self._writer.write(
                        JournalEntry(
                            server=server,
                            request_id=entry["request_id"],
                            idempotency_key=entry["idempotency_key"],
                            client_account=entry["client_account"],
                            action=entry["action"],
                            term=entry["term"],
                            position=entry["position"],
                        )
                    )

    async def _copy_terms(self, server: str) -> None:
        content = await self._get(server, "/status")
        if not isinstance(content, dict):
            return
        starts = content["status"]["log_terms"]
        self._writer.write(
            ServerLog(
                server=server,
                database=self._databases[server],
                term_starts=tuple((start["term"], start["position"]) for start in starts),
            )
        )

    async def _get(self, server: str, path: str) -> "list[dict] | dict | None":
        url = f"http://{self._admins[server]}{path}"
        try:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
            async with self._http.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
