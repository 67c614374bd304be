"""Parsing of stored objects into models, and the registry that keeps their newest versions."""

from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from ..errors import LentilringError
from ..outcomes import JsonValue
from ..platform.store import Kind, StoredObject
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .models import PARSERS, ClientAccount, ClientAccountParameters, Template, merge_account

# Operators' tools add this field to recognise their own changes; no model has it.
CHANGE_ID_FIELD = "change_id"

log = Log(source="configuration")


@dataclass(kw_only=True, eq=False)
class ObjectInvalid(LentilringError):
    """Report an object that does not fit its model."""

    kind: str
    name: str
    detail: str


def parse_object(kind: str, name: str, value: dict[str, JsonValue]) -> Any:
    """Return the model of an object, or the value itself for kinds without a model.

    Raise ObjectInvalid if the value does not fit or its name differs from the object's name.
    """
    parser = PARSERS.get(kind)
    if parser is None:
        return value
    content = {key: entry for key, entry in value.items() if key != CHANGE_ID_FIELD}
    try:
        model = parser.validate_python(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        raise ObjectInvalid(kind=kind, name=name, detail=f"{location}: {first['msg']}") from None
    if getattr(model, "name", name) != name:
        raise ObjectInvalid(kind=kind, name=name, detail=f"name: is {model.name}")
    return model


class ConfigurationRegistry:
    """Keep the newest version of every object and the models in force.

    If the newest version of an object does not parse, the last valid one remains in force.
    """

    def __init__(self, *, telemetry: Telemetry) -> None:
        self.head = 0
        self.change_count = 0
        self._telemetry = telemetry
        self._stored: dict[tuple[str, str], StoredObject] = {}
        self._models: dict[str, dict[str, Any]] = {}
        self._accounts: dict[str, ClientAccount] = {}
        self._account_names_by_key_hash: dict[str, set[str]] = {}

    def apply(self, changed: StoredObject) -> bool:
        """Apply an object if its version is greater than the current one; tell whether it was."""
        key = (changed.kind, changed.name)
        current = self._stored.get(key)
        if current is not None and changed.version <= current.version:
            return False
        self._stored[key] = changed
        self.change_count += 1
        self.head = max(self.head, changed.revision)
        self._update_models(changed)
        return True

    def stored_object(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object, even if it does not parse."""
        return self._stored.get((kind, name))

    def changed_after(self, revision: int) -> list[StoredObject]:
        """Return the objects changed after a revision, oldest change first."""
        changed = (entry for entry in self._stored.values() if entry.revision > revision)
        return sorted(changed, key=lambda entry: entry.revision)

    def model(self, kind: str, name: str) -> Any | None:
        """Return the model in force of an object."""
        return self._models.get(kind, {}).get(name)

    def models(self, kind: str) -> tuple[Any, ...]:
        """Return the models in force of a kind, sorted by name."""
        return tuple(model for _, model in sorted(self._models.get(kind, {}).items()))

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account in force."""
        return self._accounts.get(name)

    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return all client accounts in force, sorted by name."""
        return tuple(account for _, account in sorted(self._accounts.items()))

    def find_account_by_key_hash(self, key_hash: str) -> ClientAccount | None:
        """Return the account with a key hash; None if no account or more than one has it."""
        names = self._account_names_by_key_hash.get(key_hash, set())
        if len(names) > 1:
            self._telemetry.count("configuration_keys_ambiguous")
            return None
        return next((self._accounts[name] for name in names), None)

    def _update_models(self, changed: StoredObject) -> None:
        models = self._models.setdefault(changed.kind, {})
        if changed.value is None:
            models.pop(changed.name, None)
        else:
            try:
                models[changed.name] = parse_object(changed.kind, changed.name, changed.value)
            except ObjectInvalid as error:
                self._telemetry.count("configuration_objects_rejected", kind=changed.kind)
                log.error(
                    "object_rejected",
                    kind=changed.kind,
                    name=changed.name,
                    version=changed.version,
                    detail=error.detail,
                )
                return
        if changed.kind == Kind.CLIENT_ACCOUNT:
            self._merge_account(changed.name)
        if changed.kind == Kind.TEMPLATE:
            self._merge_accounts_with_template(changed.name)

    def _merge_accounts_with_template(self, template: str) -> None:
        for name, parameters in self._models.get(Kind.CLIENT_ACCOUNT, {}).items():
            if parameters.template == template:
                self._merge_account(name)

    def _merge_account(self, name: str) -> None:
        previous = self._accounts.pop(name, None)
        for key_hash in previous.key_hashes if previous else ():
            self._remove_key_hash(key_hash, name)
        parameters: ClientAccountParameters | None = self.model(Kind.CLIENT_ACCOUNT, name)
        if parameters is None:
            return
        template: Template | None = self.model(Kind.TEMPLATE, parameters.template)
        if template is None:
            self._telemetry.count("configuration_templates_missing")
            log.error("template_missing", client_account=name, template=parameters.template)
            return
        account = merge_account(parameters, template)
        self._accounts[name] = account
        for key_hash in account.key_hashes:
            self._account_names_by_key_hash.setdefault(key_hash, set()).add(name)

    def _remove_key_hash(self, key_hash: str, name: str) -> None:
        names = self._account_names_by_key_hash.get(key_hash, set())
        names.discard(name)
        if not names:
            self._account_names_by_key_hash.pop(key_hash, None)
