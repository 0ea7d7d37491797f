"""The platform's object store."""

from __future__ import annotations

import json
from typing import Protocol

from result import Err, Ok, Result

from chiveledge.decoding import check_type
from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller, classify_error_status, decode_reply
from chiveledge.services.errors import CallError, Unavailable

HTTP_OK = 200
HTTP_NOT_FOUND = 404


class ObjectStore(Protocol):
    """Stores text objects by name; repeating a write has no further effect."""

    async def write(self, name: str, text: str) -> Result[None, CallError]:
        """Store the text of an object."""

    async def read(self, name: str) -> Result[str | None, CallError]:
        """Return the text of an object, or None if it does not exist."""


class HttpObjectStore:
    """Client of the object store over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def write(self, name: str, text: str) -> Result[None, CallError]:
        reply = await self._caller.call(
            "PUT", f"{_wire.OBJECTS}/{name}", {"text": text}
        )
        match reply:
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(None)
            case Ok(answer):
                return Err(classify_error_status(answer.status, f"write of {name!r}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def read(self, name: str) -> Result[str | None, CallError]:
        match await self._caller.call("GET", f"{_wire.OBJECTS}/{name}"):
            case Ok(answer) if answer.status == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(answer) if answer.status == HTTP_OK:
                return decode_reply(_decode_text, answer.body, "the object store")
            case Ok(answer):
                detail = json.dumps(answer.body)
                return Err(Unavailable(f"read of {name!r} returned {detail}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode_text(body: dict) -> str:
    return check_type(body["text"], str)
