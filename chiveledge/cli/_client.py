"""HTTP client of the command line."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
CALL_TIMEOUT_S = 60.0

URL_VARIABLE = "CHIVELEDGE_URL"
TOKEN_VARIABLE = "CHIVELEDGE_TOKEN"
WORKSPACE_VARIABLE = "CHIVELEDGE_WORKSPACE"


class Call(NamedTuple):
    """An HTTP request, without the address of the process that it is sent to."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""


class Reply(NamedTuple):
    """Outcome of a call.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection failed, 504 if it broke or timed out after the
        request may have been sent.
    body : object
        Decoded JSON, or the text of a body that is not JSON.
    """

    status: int
    body: Any

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def read_urls(url: str) -> list[str]:
    """Return the URLs of the processes to call, from the option or the environment."""
    text = url or os.environ.get(URL_VARIABLE, "")
    urls = [part.rstrip("/") for part in text.split(",") if part]
    if not urls:
        exit_bad_input(f"--url: is missing; give http://IP:PORT or set {URL_VARIABLE}")
    return urls


def make_caller_headers(token: str, workspace: str) -> dict[str, str]:
    """Return the headers that authenticate a caller of a workspace."""
    name = workspace or os.environ.get(WORKSPACE_VARIABLE, "")
    if not name:
        exit_bad_input(f"--workspace: is missing; give it or set {WORKSPACE_VARIABLE}")
    return make_operator_headers(token) | {"Chiveledge-Workspace": name}


def make_operator_headers(token: str) -> dict[str, str]:
    """Return the headers that authenticate an operator."""
    secret = token or os.environ.get(TOKEN_VARIABLE, "")
    if not secret:
        exit_bad_input(f"--token: is missing; give it or set {TOKEN_VARIABLE}")
    return {"Authorization": f"Bearer {secret}"}


def call_first_reachable(urls: list[str], call: Call) -> Reply:
    """Call the processes in order until one is reached; return its reply."""
    return asyncio.run(_call_first_reachable(urls, call))


def call_all(urls: list[str], call: Call) -> list[Reply]:
    """Call all processes concurrently; return the replies in the order of the URLs."""
    return asyncio.run(_call_all(urls, call))


def print_reply(reply: Reply, *, as_json: bool) -> int:
    """Print the reply to a call; return the exit code."""
    stream = sys.stdout if reply.succeeded else sys.stderr
    if as_json or not isinstance(reply.body, dict):
        print(json.dumps(reply.body), file=stream)
    else:
        for key, value in reply.body.items():
            text = value if isinstance(value, str) else json.dumps(value)
            print(f"{key:<16} {text}", file=stream)
    if reply.succeeded:
        return EXIT_SUCCESS
    is_bad_input = isinstance(reply.body, dict) and reply.body.get("reason") == (
        "bad_input"
    )
    return EXIT_BAD_INPUT if is_bad_input else EXIT_FAILURE


def exit_bad_input(message: str) -> None:
    """Print an error message and exit with the code for bad input, before any call."""
    print(f"chiveledge: {message}", file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)


def print_first_reply(url: str, call: Call, *, as_json: bool) -> int:
    """Make a call to the first URL that can be reached, and print its reply.

    Parameters
    ----------
    url : str
        URLs, separated by commas; see `read_urls`.
    call : Call
        Call to make.
    as_json : bool
        Whether the reply is printed as JSON.

    Returns
    -------
    int
        Exit code.
    """
    return print_reply(call_first_reachable(read_urls(url), call), as_json=as_json)


async def _call_first_reachable(urls: list[str], call: Call) -> Reply:
    reply = Reply(0, {"detail": "no process could be reached"})
    async with _open_session() as session:
        for url in urls:
            reply = await _call(session, url, call)
            if reply.status:
                return reply
    return reply


async def _call_all(urls: list[str], call: Call) -> list[Reply]:
    async with _open_session() as session:
        return await asyncio.gather(*(_call(session, url, call) for url in urls))


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))


async def _call(session: aiohttp.ClientSession, url: str, call: Call) -> Reply:
    try:
        async with session.request(
            call.method,
            url + call.path,
            headers=dict(call.headers),
            data=call.body or None,
        ) as response:
            raw = await response.read()
            return Reply(response.status, _decode_body(raw))
    except aiohttp.ClientConnectorError as error:
        return Reply(0, {"detail": f"{url}: {error.strerror or error}"})
    except (TimeoutError, aiohttp.ClientError) as error:
        detail = f"{url}: {type(error).__name__}; the outcome is unknown"
        return Reply(504, {"outcome": "unknown", "detail": detail})


def _decode_body(raw: bytes) -> Any:
    try:
        return json.loads(raw) if raw else {}
    except ValueError:
        return raw.decode(errors="replace")
