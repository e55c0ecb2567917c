"""Header fields of HTTP/1.1 messages."""

from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

# Responses that never have a body, whatever their headers say.
NO_BODY_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None; `name` is lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
