"""Exit codes of the command lines."""

OK = 0
FAILED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAVAILABLE = 5
NOT_IN_FORCE = 6
PARTIAL = 7
