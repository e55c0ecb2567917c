"""The entry point of snipesaddled."""

from snipesaddle._internal.cli.daemon import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
