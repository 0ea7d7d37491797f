"""Client of the platform's advice service."""

from __future__ import annotations

from result import Err, Ok, Result

from chiveledge.coordinator import Advice
from chiveledge.decoding import check_number, check_type
from chiveledge.services import (
    CallError,
    HttpCaller,
    HttpReply,
    Unavailable,
    decode_reply,
)

HTTP_OK = 200
FETCH_TIMEOUT_S = 4.0


class PlatformAdvice:
    """Requests the tickets that permit a step on a worker.

    Parameters
    ----------
    caller : HttpCaller
        Connection to the advice service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def fetch_tickets(
        self, step_name: str, workers: tuple[str, ...]
    ) -> Result[Advice, CallError]:
        """Return tickets for those of `workers` that may run the step."""
        body = {"step": step_name, "workers": list(workers)}
        match await self._caller.call(
            "POST", "/advise", body, timeout_s=FETCH_TIMEOUT_S
        ):
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return decode_reply(_decode, answer, "the advice service")
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the advice service answered {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode(answer: dict) -> Advice:
    tickets = {
        check_type(name, str): check_type(ticket, str)
        for name, ticket in answer["good"]
    }
    return Advice(tickets, check_number(answer["valid_ms"]) / 1000)
