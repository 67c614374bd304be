"""Plays seeds of the model of takeovers: `python -m tests.takeover_search --seeds 1000`."""

import argparse
from collections.abc import Sequence

from .takeover_guards import GUARDS, find_loss, play

FAULTS = ("registers_late", "adds_servers")


def main(arguments: Sequence[str] | None = None) -> int:
    """Print each seed that loses a write; return 1 if one does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, metavar="SEED")
    parser.add_argument("--seeds", type=int, default=1000, metavar="N")
    parser.add_argument("--fault", choices=FAULTS, action="append", default=[])
    parser.add_argument("--guard", choices=GUARDS, help="search for a loss without this guard")
    parser.add_argument("--trace", action="store_true", help="print the steps of each loss")
    options = parser.parse_args(arguments)
    if options.guard is not None:
        seed = find_loss(GUARDS[options.guard], max_seeds=options.seeds)
        print(f"{options.guard}: {'no loss' if seed is None else f'seed {seed}'}")
        return 0
    losses = promotions = 0
    for seed in range(options.first, options.first + options.seeds):
        world = play(seed, **dict.fromkeys(options.fault, True))
        promotions += world.promotions
        if world.lost:
            losses += 1
            print(f"seed {seed}: {len(world.lost)} of {len(world.acknowledged)} writes lost")
            if options.trace:
                print("\n".join(world.trace))
    print(f"{losses} of {options.seeds} seeds lost writes; {promotions} promotions")
    return 1 if losses else 0


if __name__ == "__main__":
    raise SystemExit(main())
