"""Statuses and header fields of HTTP/1.1 messages."""

from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

# Responses that never have a body, whatever their headers say.
NO_BODY_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


def is_final_status(status: int) -> bool:
    """Returns whether a status is one of a complete answer."""
    return 200 <= status <= 599


def is_interim_status(status: int) -> bool:
    """Returns whether another response follows one with this status.

    After 101, bytes in another protocol would follow; it is never asked for.
    """
    return 100 <= status <= 199 and status != HTTPStatus.SWITCHING_PROTOCOLS


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None; `name` is lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
