"""Selection of the headers that a proxy forwards (RFC 9110, section 7.6.1)."""

from snipesaddle._internal.tables.forwarding.requests import Headers

# Hop-by-hop headers, and two that this node handles itself: it sets
# Content-Length and answers Expect.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Returns the headers to forward.

    Args:
      headers: the received headers.
      excluded: names in lower case of headers that this node sets itself.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _NOT_FORWARDED
        and lower not in excluded
        and lower not in connection_options
    )


def split(
    headers: Headers, selected: frozenset[bytes]
) -> tuple[Headers, Headers]:
    """Returns the selected headers and the others.

    Args:
      headers: the received headers.
      selected: names in lower case.
    """
    found = tuple(item for item in headers if item[0].lower() in selected)
    if not found:
        return (), headers
    others = tuple(item for item in headers if item[0].lower() not in selected)
    return found, others
