"""HTTP/1.1 client and server on asyncio protocols, parsed by httptools.

Used by the forwarding tier, where the cost of each request matters.
"""
