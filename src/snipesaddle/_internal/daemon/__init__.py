"""The daemon: start-up, the tick loop and clean-up."""
