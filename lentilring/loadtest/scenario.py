"""Scenario files: accounts, phases and faults of one load run."""

from pathlib import Path
from typing import Annotated, Literal

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from ..errors import LentilringError

STRICT = ConfigDict(extra="forbid")

Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
AddressText = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Proxy:
    """Locate one proxy's interface for callers."""

    address: AddressText
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True, config=STRICT)
class BackendServer:
    """Locate one backend server; `admin` is the stand-in's administration interface."""

    database: str
    failure_domain: str = ""
    admin: AddressText | None = None


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Routes:
    """Name the routes that the kinds of requests use."""

    read: str
    write: str
    repeatable_write: str


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Mix:
    """Hold the weight of each kind of operation; a transaction sends three requests."""

    read: Annotated[float, Field(ge=0)] = 0.78
    write: Annotated[float, Field(ge=0)] = 0.1
    repeatable_write: Annotated[float, Field(ge=0)] = 0.1
    transaction: Annotated[float, Field(ge=0)] = 0.02


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Account:
    """Describe one client account: its configured limits and the operations that it offers.

    `key_id` names the key in the request log, which never holds the key itself.
    """

    name: str
    key: str
    key_id: str
    rate_per_s: Positive
    burst: Positive
    offered_per_s: Annotated[float, Field(ge=0)]
    sessions: Annotated[int, Field(ge=1, le=10_000)] = 6


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Phase:
    """Describe a part of the run; `factors` multiply the offered load of some accounts.

    An unmeasured phase warms up: its requests count only for the checks of correctness.
    `proxies` restricts which proxies get requests.
    """

    name: str
    duration_s: Positive
    measured: bool = True
    factors: dict[str, float] = Field(default_factory=dict)
    proxies: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, config=STRICT)
class SendSignal:
    """Send a signal to a process whose id is in `{process}.pid` of the work directory."""

    kind: Literal["signal"]
    process: str
    signal: Literal["SIGKILL", "SIGTERM", "SIGSTOP", "SIGCONT"]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class SendHttp:
    """Send a JSON object, such as to the fault switches of a stand-in."""

    kind: Literal["http"]
    url: str
    method: Literal["POST", "PUT", "DELETE"] = "POST"
    body: dict[str, bool | int | float | str] = Field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class RunCommand:
    """Run a program, such as `lentilctl`; its output goes into the log."""

    kind: Literal["command"]
    arguments: Annotated[tuple[str, ...], Field(min_length=1)]


FaultAction = Annotated[SendSignal | SendHttp | RunCommand, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Fault:
    """Do something to the deployment `at_s` seconds after the start; the log gets a mark.

    `event` says which check the mark belongs to, `target` what it concerns: a database for
    `primary_lost`, a failure domain for `domain_drained` and `domain_returned`, a key id for
    `key_withdrawn` and `key_given`.
    """

    at_s: Annotated[float, Field(ge=0)]
    name: str
    event: Literal[
        "primary_lost", "domain_drained", "domain_returned", "key_withdrawn", "key_given", "other"
    ] = "other"
    target: str = ""
    action: FaultAction


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Scenario:
    """Describe one run; times in seconds."""

    name: str
    seed: int = 1
    service: str
    databases: Annotated[tuple[str, ...], Field(min_length=1)]
    routes: Routes
    proxies: Annotated[dict[str, Proxy], Field(min_length=1)]
    backend_servers: dict[str, BackendServer] = Field(default_factory=dict)
    accounts: Annotated[tuple[Account, ...], Field(min_length=1)]
    phases: Annotated[tuple[Phase, ...], Field(min_length=1)]
    faults: tuple[Fault, ...] = ()
    mix: Mix = Field(default_factory=Mix)
    move_share: Share = 0.2
    deadline_ms: Annotated[int, Field(ge=1, le=60_000)] = 5000


@dataclass(kw_only=True, eq=False)
class ScenarioInvalid(LentilringError):
    """Report a scenario file that does not fit, with the path of the field."""

    file: str
    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.detail}"


_PARSER = TypeAdapter(Scenario)


def read_scenario(file: Path) -> Scenario:
    """Return the scenario of a YAML file; raise ScenarioInvalid."""
    try:
        content = yaml.safe_load(file.read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise ScenarioInvalid(file=str(file), path="(file)", detail=str(error)) from error
    try:
        return _PARSER.validate_python(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(part) for part in first["loc"]) or "(top)"
        raise ScenarioInvalid(file=str(file), path=path, detail=first["msg"]) from None
