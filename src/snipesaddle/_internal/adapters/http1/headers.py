"""Header fields of HTTP/1.1 messages."""

Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None; `name` is lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
