"""The daemon process: start-up, tick loop, command dispatch and shutdown."""
