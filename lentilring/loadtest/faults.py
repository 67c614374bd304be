"""Faults of a scenario, done to processes and stand-ins by the load tool."""

import asyncio
import os
import signal
import time
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path

import aiohttp

from .scenario import RunCommand, SendHttp, SendSignal


@dataclass(frozen=True, kw_only=True)
class ActionResult:
    """Hold what an action printed, and the monotonic time of its first output."""

    output: str
    first_output_at: float | None = None


@singledispatch
async def do_action(action: object, http: aiohttp.ClientSession, work: Path) -> ActionResult:
    """Do a fault's action."""
    raise TypeError(type(action).__name__)


@do_action.register
async def _(action: SendSignal, http: aiohttp.ClientSession, work: Path) -> ActionResult:
    process = int((work / f"{action.process}.pid").read_text())
    os.kill(process, signal.Signals[action.signal])
    return ActionResult(output=f"{action.signal} to {action.process}")


@do_action.register
async def _(action: SendHttp, http: aiohttp.ClientSession, work: Path) -> ActionResult:
    async with http.request(action.method, action.url, json=action.body) as response:
        return ActionResult(output=f"{response.status} {await response.text()}")


@do_action.register
async def _(action: RunCommand, http: aiohttp.ClientSession, work: Path) -> ActionResult:
    process = await asyncio.create_subprocess_exec(
        *action.arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    assert process.stdout is not None
    first = await process.stdout.readline()
    first_output_at = time.monotonic() if first else None
    output = first + await process.stdout.read()
    code = await process.wait()
    text = output.decode(errors="replace").strip()
    return ActionResult(output=f"exit {code}: {text}", first_output_at=first_output_at)
