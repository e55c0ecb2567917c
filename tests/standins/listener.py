"""Records what arrives on the client connections of a test."""

from snipesaddle._internal.adapters.http1.client import (
    ClientConnection,
    ResponseListener,
)
from snipesaddle._internal.adapters.http1.response_reader import HttpResponse


class RecordingListener(ResponseListener):
    """Records the responses and the ends of a connection.

    Attributes:
      responses: the responses, each with whether the connection is reusable.
      ends: why the connection ended.
      wanted: the request id that a response must have; empty for any.
    """

    def __init__(self, wanted: bytes = b"") -> None:
        self.responses: list[tuple[HttpResponse, bool]] = []
        self.ends: list[str] = []
        self.wanted = wanted

    def matches_request(
        self, connection: ClientConnection, response: HttpResponse
    ) -> bool:
        del connection
        return not self.wanted or response.header(b"request-id") == self.wanted

    def on_response(
        self,
        connection: ClientConnection,
        response: HttpResponse,
        reusable: bool,
    ) -> None:
        del connection
        self.responses.append((response, reusable))

    def on_closed(self, connection: ClientConnection, detail: str) -> None:
        del connection
        self.ends.append(detail)
