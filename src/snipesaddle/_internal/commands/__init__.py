"""The commands of the tool: plain functions below the command line."""
