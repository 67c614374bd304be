"""What is left of a client account's rate."""

from dataclasses import dataclass

from ..outcomes import NotRun


@dataclass(frozen=True, kw_only=True)
class RemainingRate:
    """Hold what is left of an account's rate at a proxy.

    `pool_tokens` is None if another proxy holds the region's pool. `refusal` is the answer to an
    operation that is refused without asking another proxy. With `must_borrow`, an operation is
    admitted only if the pool of another region lends a token.
    """

    stock_tokens: int
    pool_tokens: float | None
    pool_holder: str
    refusal: NotRun | None
    must_borrow: bool = False


@dataclass(frozen=True, kw_only=True)
class HeldTokens:
    """Hold an account's lent tokens at a proxy, and who is asked for more.

    `supply` says how the last request for tokens ended. `refusal` is the answer to a request that
    is refused at once; others wait for a token for a short time.
    """

    tokens: float
    waiting: int
    supply: str
    holders: tuple[str, ...]
    refusal: NotRun | None
