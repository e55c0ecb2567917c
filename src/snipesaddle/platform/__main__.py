"""The program of an entry node on the users' platform."""

import signal


def main() -> None:
    """Runs the node.

    The platform may tell of changed settings while the program still loads.
    They are read afterwards, so that the signal is ignored until then.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from snipesaddle.platform import entry

    entry.main()


if __name__ == "__main__":
    main()
