"""The `lentilring-sessions` program."""

import signal
import sys


def main() -> None:
    """Run the program; the library for flags is loaded only if there is a flag or an error."""
    # Loading takes a while, in which a change of the settings must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .session_serving import serve_from_environment

    if len(sys.argv) > 1 or not serve_from_environment():
        from .session_flags import application

        application()


if __name__ == "__main__":
    main()
