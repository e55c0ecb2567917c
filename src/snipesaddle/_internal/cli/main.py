"""The command line of snipesaddle, the operators' tool."""

import typer

from snipesaddle._internal.cli import (
    config_commands,
    log_commands,
    node_commands,
    route_commands,
)

app = typer.Typer(
    help="Checks, publishes and queries the services of snipesaddle.",
    no_args_is_help=True,
)
config_app = typer.Typer(help="Reads the configuration.", no_args_is_help=True)
app.add_typer(config_app, name="config")

app.command()(config_commands.check)
app.command()(config_commands.diff)
app.command()(config_commands.publish)
config_app.command()(config_commands.history)
app.command()(node_commands.status)
app.command()(node_commands.query)
app.command()(node_commands.execute)
app.command()(node_commands.drain)
app.command()(log_commands.explain)
app.command()(route_commands.explain_route)


def main() -> None:
    """Runs the command line."""
    app()
