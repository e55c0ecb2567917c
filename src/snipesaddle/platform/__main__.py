"""The entry point of an entry node on the users' platform."""

import signal


def main() -> None:
    """Runs the node.

    The platform may send SIGHUP, its signal for changed settings, while the
    modules are still being imported, and by default that ends the process. It
    is ignored until then: the settings are read only after the imports.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from snipesaddle.platform import entry

    entry.main()


if __name__ == "__main__":
    main()
