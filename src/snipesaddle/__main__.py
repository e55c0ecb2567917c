"""The entry point of the command-line tool."""

from snipesaddle._internal.cli.main import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
