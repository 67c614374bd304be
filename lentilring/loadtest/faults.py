"""Faults of a scenario, done to processes and stand-ins by the load tool."""

import asyncio
import os
import signal
from functools import singledispatch
from pathlib import Path

import aiohttp

from .scenario import RunCommand, SendHttp, SendSignal


@singledispatch
async def do_action(action: object, http: aiohttp.ClientSession, work: Path) -> str:
    """Do a fault's action; return what it printed."""
    raise TypeError(type(action).__name__)


@do_action.register
async def _(action: SendSignal, http: aiohttp.ClientSession, work: Path) -> str:
    process = int((work / f"{action.process}.pid").read_text())
    os.kill(process, signal.Signals[action.signal])
    return f"{action.signal} to {action.process}"


@do_action.register
async def _(action: SendHttp, http: aiohttp.ClientSession, work: Path) -> str:
    async with http.request(action.method, action.url, json=action.body) as response:
        return f"{response.status} {await response.text()}"


@do_action.register
async def _(action: RunCommand, http: aiohttp.ClientSession, work: Path) -> str:
    process = await asyncio.create_subprocess_exec(
        *action.arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return f"exit {process.returncode}: {output.decode(errors='replace').strip()}"
