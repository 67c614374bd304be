"""Transaction ids, which name the gateway process and the client account of a transaction."""

import random
from dataclasses import dataclass

SEPARATOR = "~"
RANDOM_BITS = 96


@dataclass(frozen=True, kw_only=True)
class TransactionId:
    """Hold the parts of a transaction's id; `vm` and `incarnation` name the gateway process."""

    vm: str
    incarnation: int
    client_account: str
    nonce: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.vm, str(self.incarnation), self.client_account, self.nonce))


def create_id(
    *, vm: str, incarnation: int, client_account: str, random_source: random.Random
) -> str:
    """Return a new transaction id."""
    nonce = f"{random_source.getrandbits(RANDOM_BITS):024x}"
    return str(
        TransactionId(vm=vm, incarnation=incarnation, client_account=client_account, nonce=nonce)
    )


def parse_id(text: str) -> TransactionId | None:
    """Return the parts of a transaction id, or None if it is malformed."""
    parts = text.split(SEPARATOR)
    if len(parts) != 4 or not parts[1].isdigit():
        return None
    return TransactionId(
        vm=parts[0], incarnation=int(parts[1]), client_account=parts[2], nonce=parts[3]
    )
