"""A relay whose open connections can go silent for good, as DEPLOY.md tells.

The project's relay passes on the end of a silent connection; here its caller sees nothing at all.
"""

import asyncio
from typing import Any

from lentilring.soak.relay import CHUNK_BYTES, LinkFault, Relay


class SilentRelay(Relay):
    """Drop the bytes and the end of silenced connections, and keep them open."""

    async def _pump(
        self,
        link: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_by: LinkFault,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not link.silenced:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            if not link.silenced:
                writer.transport.abort()


def make_silent(relay: Relay) -> None:
    """Let a relay that runs keep its silenced connections open; for new connections only."""
    relay.__class__ = SilentRelay
