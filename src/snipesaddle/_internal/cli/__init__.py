"""The command lines, as thin as can be."""
