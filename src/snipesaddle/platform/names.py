"""Names of the platform on the wire: headers, paths and store keys."""

# Headers: in lower case for look-ups, with the suffix _SENT as written.
REQUEST_ID = b"request-id"
TIME_LIMIT = b"request-deadline-ms"
TIME_LIMIT_SENT = b"Request-Deadline-Ms"
SIGNATURE = b"server-stamp"
EXPECTED_ENDPOINT = b"expected-instance"
EXPECTED_ENDPOINT_SENT = b"Expected-Instance"
NOT_RUN = b"not-executed"
LEAVING = b"server-leaving"
RATE_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
PART_SIGNATURES_SENT = b"Part-Stamps"
MISSING_PARTS_SENT = b"Missing-Parts"

READINESS_PATH = b"/snipesaddle/readyz"
DIRECTORY_PATH = b"/snipesaddle/resolve"

STORE_RANGE = "/snipesaddle/kv-range"
STORE_WATCH = "/snipesaddle/kv-watch"
STORE_WRITE = "/snipesaddle/kv-txn"
STORE_LEASE = "/snipesaddle/kv-lease"
STORE_RENEW = "/snipesaddle/kv-keep/"
STORE_END_LEASE = "/snipesaddle/kv-lease-end/"

CONFIG_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
NODE_PREFIX = "nodes/"
