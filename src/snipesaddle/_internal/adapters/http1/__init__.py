"""HTTP/1.1 by httptools on asyncio protocols, for the hot path."""
