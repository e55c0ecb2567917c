"""Exit codes of the command lines.

FAILED: the operation failed or found nothing. USAGE: wrong options. INVALID:
invalid files. CONFLICT: others published the same services. UNAVAILABLE: no
reply from the store or a node. NOT_IN_FORCE: published, but not yet in force on
all nodes. PARTIAL: an answer that misses shards.
"""

OK = 0
FAILED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAVAILABLE = 5
NOT_IN_FORCE = 6
PARTIAL = 7
