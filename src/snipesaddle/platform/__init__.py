"""The adapter to the users' platform: names, formats and calls.

Nothing here decides. Only this package knows the names on the wire; each is
decoded once, into types whose fields say what they hold.
"""
