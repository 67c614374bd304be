"""Client for the admin interface of proxies."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from ..errors import LentilringError
from ..outcomes import JsonValue

POLL_S = 0.1


@dataclass(kw_only=True, eq=False)
class ProxyUnavailable(LentilringError):
    """Report that a proxy gave no valid response."""

    address: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Hold the VMs that have confirmed a revision, those that have not, and the wait in seconds."""

    revision: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]
    waited_s: float


class ProxyClient:
    """Read views and request actions of one proxy at its admin address."""

    def __init__(self, *, address: str, token: str, timeout_s: float = 5.0) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self, view: str, **query: str) -> JsonValue:
        """Return a view; raise ProxyUnavailable if the proxy gives no valid response."""
        return await self._send("GET", view, query)

    async def act(self, view: str, **query: str) -> JsonValue:
        """Request an action; raise ProxyUnavailable if the proxy gives no valid response."""
        return await self._send("POST", view, query)

    async def await_in_force(self, revision: int, *, timeout_s: float) -> InForce:
        """Wait until all known VMs have confirmed a revision, for `timeout_s` at most."""
        started = time.monotonic()
        while True:
            content = await self.read("in-force", revision=str(revision))
            waited_s = time.monotonic() - started
            result = _build_in_force(content, revision, waited_s)
            if (result.confirmed and not result.missing) or waited_s >= timeout_s:
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
