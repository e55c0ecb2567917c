"""The query of an explanation of a route, as read from a URL."""

from typing import Annotated
from urllib.parse import parse_qsl

import msgspec

from snipesaddle._internal.models.forwarding import Model
from snipesaddle._internal.tables.forwarding.requests import ArrivedRequest

_MAX_FIELDS = 8
_MAX_BODY_BYTES = 1_048_576


class ExplainQuery(
    Model, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Which request to explain.

    API keys have no field; a tenant is given by its name.

    Attributes:
      path: the path, with the query of the request if it has one.
      body_bytes: the size of the body.
    """

    host: Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
    path: Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]*\Z", max_length=8_192)]
    method: Annotated[str, msgspec.Meta(pattern=r"\A[A-Z]{1,16}\Z")] = "GET"
    tenant: Annotated[str, msgspec.Meta(max_length=255)] = ""
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BODY_BYTES)] = 0

    def request(self) -> ArrivedRequest:
        """Returns the request that it describes, which no client has sent."""
        return ArrivedRequest(
            client_id=0,
            client_request_id=b"explained",
            method=self.method.encode(),
            host=self.host.encode(),
            target=self.path.encode(),
            headers=(),
            body=bytes(self.body_bytes),
            time_limit_ms=None,
        )


def parse(query: bytes) -> ExplainQuery:
    """Returns the query of a URL.

    Raises:
      ValueError: it has unknown, repeated or malformed fields. The message
        contains none of their values.
    """
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=True,
            max_num_fields=_MAX_FIELDS,
        )
    except ValueError:
        raise ValueError("malformed query") from None
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError("repeated field")
    if not values.keys() <= set(ExplainQuery.__struct_fields__):
        raise ValueError("unknown field; API keys are not accepted here")
    try:
        return msgspec.convert(values, ExplainQuery, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
