"""Client of the platform's machine service, and decoder of upkeep waves."""

from __future__ import annotations

from typing import NamedTuple

from result import Err, Ok, Result

from chiveledge.decoding import (
    DECODE_ERRORS,
    check_number,
    check_type,
    check_whole_number,
    describe_error,
    parse_json,
)
from chiveledge.services import (
    CallError,
    HttpCaller,
    HttpReply,
    Unavailable,
    Unsettled,
    decode_reply,
)
from chiveledge.services.machines import (
    Machine,
    MachineState,
    UpkeepOrder,
    UpkeepRefusal,
    UpkeepRefused,
    Wave,
)

WAVE_PREFIX = "op/wave/"

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
CALL_TIMEOUT_S = 2.0

_REFUSAL_REASONS = {
    "fence": UpkeepRefusal.FENCE,
    "busy": UpkeepRefusal.BUSY,
    "wave": UpkeepRefusal.OTHER_WAVE,
}


class _Page(NamedTuple):
    """Some machines, and the token of the next page; empty on the last one."""

    machines: list[Machine]
    next_token: str


class PlatformMachines:
    """Client that lists machines and orders their upkeep.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the machine service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def list_machines(self) -> Result[tuple[Machine, ...], CallError]:
        """Return the machines of all pages."""
        machines: list[Machine] = []
        params: dict[str, str] = {}
        while True:
            reply = await self._caller.call(
                "GET", "/machines", params=params, timeout_s=CALL_TIMEOUT_S
            )
            match reply:
                case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                    page = decode_reply(_decode_page, body, "the machine service")
                case Ok(HttpReply(status=status)):
                    return Err(
                        Unavailable(f"listing machines failed with status {status}")
                    )
                case Err(error):
                    return Err(error)
            match page:
                case Ok(_Page(found, token)):
                    machines += found
                case Err(error):
                    return Err(error)
            if not token:
                return Ok(tuple(machines))
            if token == params.get("page_token"):
                return Err(Unsettled("the list of machines does not advance"))
            params = {"page_token": token}

    async def begin_upkeep(
        self, order: UpkeepOrder
    ) -> Result[None, UpkeepRefused | CallError]:
        """Order the upkeep of a machine.

        Repeating an order has no further effect and succeeds, also after the upkeep.
        """
        reply = await self._caller.call(
            "POST",
            "/machine-upkeep",
            {"machine": order.machine, "wave": order.wave},
            headers={
                "X-Lease-Holder": order.holder,
                "X-Fencing-Token": str(order.fence),
            },
            timeout_s=CALL_TIMEOUT_S,
        )
        match reply:
            case Ok(HttpReply(status=status)) if status == HTTP_OK:
                return Ok(None)
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_CONFLICT:
                reason = body.get("reason") if isinstance(body, dict) else None
                return Err(
                    UpkeepRefused(_REFUSAL_REASONS.get(reason, UpkeepRefusal.BUSY))
                )
            case Ok(HttpReply(status=status)) if status == HTTP_BAD_REQUEST:
                return Err(UpkeepRefused(UpkeepRefusal.UNKNOWN_MACHINE))
            case Ok(HttpReply(status=status)):
                return Err(Unsettled(f"the upkeep order failed with status {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def decode_wave(text: str) -> Result[Wave, str]:
    """Decode a wave from an operators' row, or return why it is invalid."""
    try:
        fields = parse_json(text)
        return Ok(
            Wave(
                number=check_whole_number(fields["wave"]),
                machines=tuple(check_type(name, str) for name in fields["machines"]),
                within_s=check_number(fields["within_s"]),
                max_down=max(1, check_whole_number(fields["cap"])),
            )
        )
    except DECODE_ERRORS as error:
        return Err(describe_error(error))


def _decode_page(body: dict) -> _Page:
    machines = [
        Machine(
            check_type(entry["machine"], str),
            MachineState(entry["state"]),
            check_type(entry.get("id") or "", str),
        )
        for entry in body["machines"]
    ]
    return _Page(machines, str(body.get("next_token") or ""))
