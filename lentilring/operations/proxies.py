"""Client of the proxies' operators' interface."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from ..errors import LentilringError
from ..outcomes import JsonValue

POLL_S = 0.1


@dataclass(kw_only=True, eq=False)
class ProxyUnavailable(LentilringError):
    """Report that a proxy gave no useful answer."""

    address: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Hold which VMs have confirmed a revision, and how long it took, in seconds."""

    revision: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]
    waited_s: float


class ProxyClient:
    """Read status views of one proxy at its operators' address."""

    def __init__(self, *, address: str, token: str, timeout_s: float = 5.0) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self, view: str, **query: str) -> JsonValue:
        """Return a view; raise ProxyUnavailable."""
        return await self._send("GET", view, query)

    async def act(self, view: str, **query: str) -> JsonValue:
        """Ask for an action; raise ProxyUnavailable."""
        return await self._send("POST", view, query)

    async def await_in_force(self, revision: int, *, timeout_s: float) -> InForce:
        """Wait until all known VMs have a revision, or for a time."""
        started = time.monotonic()
        while True:
            found = await self.read("in-force", revision=str(revision))
            waited = time.monotonic() - started
            result = _build_in_force(found, revision, waited)
            if (result.confirmed and not result.missing) or waited >= timeout_s:
                return result
            await asyncio.sleep(POLL_S)

    async def _send(self, method: str, view: str, query: dict[str, str]) -> JsonValue:
        url = f"http://{self._address}/admin/{view}"
        try:
            async with (
                aiohttp.ClientSession(headers=self._headers, timeout=self._timeout) as session,
                session.request(method, url, params=query) as response,
            ):
                content: JsonValue = await response.json()
                if response.status != 200:
                    raise ProxyUnavailable(address=self._address, detail=str(content))
                return content
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise ProxyUnavailable(address=self._address, detail=repr(error)) from error


def _build_in_force(content: JsonValue, revision: int, waited_s: float) -> InForce:
    assert isinstance(content, dict)
    confirmed, missing = content.get("confirmed"), content.get("missing")
    return InForce(
        revision=revision,
        confirmed=tuple(str(vm) for vm in confirmed) if isinstance(confirmed, list) else (),
        missing=tuple(str(vm) for vm in missing) if isinstance(missing, list) else (),
        waited_s=waited_s,
    )
