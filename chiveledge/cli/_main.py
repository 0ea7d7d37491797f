"""Entry point of the command line.

Exit codes: 0 success; 1 refused, outcome unknown or not finished; 2 bad input, nothing
was changed.
"""

from __future__ import annotations

import sys

import defopt

from chiveledge.cli._commands import (
    cancel,
    drain,
    drain_domain,
    preset,
    request,
    run,
    set_configuration,
    submit,
    undrain_domain,
)
from chiveledge.cli._queries import (
    configuration,
    drains,
    explain,
    hosts,
    metrics,
    report,
    result,
    status,
    timeline,
    trace,
)

COMMANDS = {
    "run": run,
    "request": request,
    "submit": submit,
    "cancel": cancel,
    "preset": preset,
    "set-configuration": set_configuration,
    "drain": drain,
    "drain-domain": drain_domain,
    "undrain-domain": undrain_domain,
}
QUERIES = {
    "status": status,
    "result": result,
    "explain": explain,
    "hosts": hosts,
    "configuration": configuration,
    "drains": drains,
    "timeline": timeline,
    "trace": trace,
    "report": report,
    "metrics": metrics,
}


def main(argv: list[str] | None = None) -> None:
    """Run a command and exit with its code.

    Parameters
    ----------
    argv : list of str, optional
        Command-line arguments, by default those of the process.
    """
    code = defopt.run(
        COMMANDS | QUERIES,
        argv=argv,
        cli_options="has_default",
        show_types=False,
        short={},
    )
    sys.exit(code)
