"""HTTP administration API: state-changing commands and read-only queries."""

from __future__ import annotations

from chiveledge.administration._commands import OperatorCommands
from chiveledge.administration._queries import OperatorQueries
from chiveledge.administration._token import make_token_check

__all__ = ["OperatorCommands", "OperatorQueries", "make_token_check"]
