"""The commands of the operators' tool, without command-line parsing."""
