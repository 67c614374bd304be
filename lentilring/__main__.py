"""Runs the proxy: `python -m lentilring`."""

from .cli.proxy import main

if __name__ == "__main__":
    main()
