"""Contract of a watched table, for the fake in memory and the client over HTTP."""

from __future__ import annotations

import base64

import pytest
from aiohttp import web
from result import Err, Ok

from chiveledge.clock import SystemClock
from chiveledge.metrics import Metrics
from chiveledge.platform._store import WRITE_ID_CHARS, PlatformStore, _decode_changes
from chiveledge.services import (
    Check,
    Conflict,
    ConnectionPool,
    HistoryGone,
    HttpCaller,
    Put,
    Rejected,
    Transaction,
    Unavailable,
    Unsettled,
    make_row_key,
)
from standins.deployment import serve
from standins.table import MemoryTable


@pytest.fixture(params=["memory", "http"])
def table_and_fake(request):
    if request.param == "memory":
        fake = MemoryTable(SystemClock())
        return fake, fake
    return (
        request.getfixturevalue("platform_store"),
        request.getfixturevalue("stand_in").table,
    )


def write(key: str, value: str, version: int | None = None, write_id: str = "w1"):
    checks = () if version is None else (Check(key, version),)
    return Transaction(write_id, checks, (Put(key, value),))


async def test_write_with_outdated_check_is_a_conflict(table_and_fake):
    table, _ = table_and_fake
    version = (await table.transact(write("jobs/a", "text", 0))).unwrap()
    row = (await table.read("jobs/a")).unwrap()
    assert (row.version, row.value, row.write_id) == (version, "text", "w1")
    match await table.transact(write("jobs/a", "other", 0)):
        case Err(Conflict(keys)):
            assert keys == ("jobs/a",)
        case other:
            raise AssertionError(other)
    assert (await table.read("jobs/a")).unwrap().value == "text"


async def test_row_or_transaction_over_a_limit_is_rejected_for_good(platform_store):
    """It was taken for an outage of the store, and sent again for ever."""
    largest = "x" * (65_536 - WRITE_ID_CHARS)
    write_id = "w" * (WRITE_ID_CHARS - 1)
    fits = write("jobs/a", largest, write_id=write_id)
    assert (await platform_store.transact(fits)).is_ok()
    too_long = write("jobs/a", largest + "x", write_id=write_id)
    puts = tuple(Put(f"jobs/{number}", "") for number in range(101))
    for rejected in (too_long, Transaction("w", (), puts)):
        result = await platform_store.transact(rejected)
        assert isinstance(result.err(), Rejected)


async def test_missing_row_is_none(table_and_fake):
    table, _ = table_and_fake
    await table.transact(write("jobs/b", "text"))
    assert await table.read("jobs/a") == Ok(None)


async def test_snapshot_reads_all_pages_of_one_table(table_and_fake):
    table, fake = table_and_fake
    for number in range(1203):
        fake.commit(write(f"jobs/{number:05}", "x"))
    fake.commit(write("other/1", "x"))
    snapshot = (await table.snapshot("jobs/")).unwrap()
    assert [row.key for row in snapshot.rows] == [f"jobs/{n:05}" for n in range(1203)]
    assert snapshot.version == fake.version


async def test_list_with_an_odd_key_at_the_end_of_a_page_is_read_whole(
    platform_store, stand_in
):
    """The next page began after a part of the key, so that it left out entries."""
    names = [f"{number:03}" for number in range(499)]
    names += ["499:z", *(f"{number:03}" for number in range(500, 510))]
    for name in names:
        stand_in.write(f"servers/{name}", {})
    snapshot = (await platform_store.snapshot("servers/")).unwrap()
    assert [row.key for row in snapshot.rows] == [f"servers/{name}" for name in names]


async def test_value_of_another_writer_is_read_whole(platform_store, stand_in):
    """The first of several lines was taken for a write ID."""
    stand_in.write("op/config", '{\n "version": 3\n}')
    row = (await platform_store.read("op/config")).unwrap()
    assert (row.value, row.write_id) == ('{\n "version": 3\n}', "")


async def test_watch_returns_changes_and_deletions_after_a_version(table_and_fake):
    table, _ = table_and_fake
    await table.transact(write("jobs/a", "1"))
    version = (await table.snapshot("jobs/")).unwrap().version
    await table.transact(write("jobs/b", "2"))
    await table.transact(Transaction("w2", deletes=("jobs/a",)))
    await table.transact(write("other/c", "3"))
    changes = (await table.watch("jobs/", version, 0.2)).unwrap()
    assert [row.key for row in changes.rows] == ["jobs/b"]
    assert changes.deleted == ("jobs/a",)
    assert changes.version == version + 3
    later = (await table.watch("jobs/", changes.version, 0.0)).unwrap()
    assert (later.rows, later.deleted) == ((), ())


@pytest.mark.parametrize("set_last", [False, True])
def test_last_change_of_a_row_that_the_feed_lists_twice_counts(set_last):
    """A row that was set and deleted in one batch stayed, or one set again was lost."""
    address = {"table": "op", "part": "", "key": "evacuate/a"}
    value = base64.b64encode(b"{}").decode()
    present = address | {"value": value, "ver": 5 if set_last else 4}
    absent = address | {"deleted": True, "ver": 4 if set_last else 5}
    other = address | {"key": "evacuate/b", "value": value, "ver": 4}
    listed = [absent, other, present] if set_last else [present, other, absent]
    changes = _decode_changes({"rows": listed, "ver": 5})
    keys = {row.key for row in changes.rows}
    assert keys == {"op/evacuate/b"} | ({"op/evacuate/a"} if set_last else set())
    assert changes.deleted == (() if set_last else ("op/evacuate/a",))


async def test_watch_reports_missing_history(table_and_fake):
    table, fake = table_and_fake
    await table.transact(write("jobs/a", "1"))
    await table.transact(write("jobs/a", "2"))
    fake.forget_history()
    assert await table.watch("jobs/", 1, 0.0) == Err(HistoryGone(1))


@pytest.mark.parametrize(
    "faults,error,stored",
    [
        ({"down": True}, Unavailable, False),
        ({"lose_replies": 1}, Unsettled, True),
    ],
)
async def test_error_of_failed_write_tells_whether_it_may_be_stored(
    table_and_fake, faults, error, stored
):
    table, fake = table_and_fake
    fake.faults.set(faults)
    match await table.transact(write("jobs/a", "1", 0)):
        case Err(found):
            assert isinstance(found, error)
        case other:
            raise AssertionError(other)
    fake.faults.set({})
    assert ((await table.read("jobs/a")).unwrap() is not None) is stored


async def test_row_of_another_system_is_read_without_write_id(platform_store, stand_in):
    stand_in.write("op/config", {"version": 3})
    row = (await platform_store.read("op/config")).unwrap()
    assert (row.value, row.write_id) == ('{"version": 3}', "")


async def test_transaction_over_the_entry_limit_is_refused(platform_store):
    puts = tuple(Put(f"jobs/{n}", "x") for n in range(101))
    match await platform_store.transact(Transaction("w", puts=puts)):
        case Err(Unavailable()):
            pass
        case other:
            raise AssertionError(other)


async def test_rows_that_operators_read_are_stored_without_write_id(
    platform_store, stand_in
):
    await platform_store.transact(write("status/wave/1", '{"state":"running"}'))
    row = stand_in.table.find("status/wave/1")
    assert base64.b64decode(row.value) == b'{"state":"running"}'


async def test_snapshot_and_watch_cover_all_parts_of_a_table(table_and_fake):
    table, fake = table_and_fake
    keys = ["jobs/a", make_row_key("jobs", 0, "b"), make_row_key("jobs", 7, "c")]
    for key in keys:
        fake.commit(write(key, "x"))
    snapshot = (await table.snapshot("jobs/")).unwrap()
    assert {row.key for row in snapshot.rows} == set(keys)
    new = make_row_key("jobs", 3, "d")
    await table.transact(write(new, "y", 0))
    await table.transact(Transaction("w2", deletes=(keys[1],)))
    changes = (await table.watch("jobs/", snapshot.version, 0.2)).unwrap()
    assert [row.key for row in changes.rows] == [new]
    assert changes.deleted == (keys[1],)
    assert (await table.read(new)).unwrap().value == "y"
    assert (await table.read(make_row_key("jobs", 4, "d"))).unwrap() is None


async def test_same_name_in_two_parts_is_two_rows(table_and_fake):
    table, _ = table_and_fake
    await table.transact(write("jobs/a", "1", 0))
    await table.transact(write(make_row_key("jobs", 1, "a"), "2", 0))
    assert (await table.read("jobs/a")).unwrap().value == "1"
    assert (await table.read(make_row_key("jobs", 1, "a"))).unwrap().value == "2"


async def test_transaction_over_two_parts_is_refused(table_and_fake):
    table, fake = table_and_fake
    puts = (Put("jobs/a", "1"), Put(make_row_key("jobs", 1, "a"), "1"))
    assert isinstance(
        (await table.transact(Transaction("w", puts=puts))).unwrap_err(), Unavailable
    )
    assert not fake.rows


BAD_ANSWERS = [b"", b"null", b"[]", b'"x"', b"{", b"{}", b'{"ver":"x","rows":5}']


@pytest.mark.parametrize("body", BAD_ANSWERS)
async def test_malformed_answer_is_unsettled(body):
    async def handle(request):
        return web.Response(body=body)

    app = web.Application()
    app.router.add_route("*", "/{any}", handle)
    runner, address = await serve(app)
    pool = ConnectionPool()
    caller = HttpCaller(pool, f"http://{address}", metrics=Metrics())
    store = PlatformStore(caller, caller, SystemClock())
    replies = [
        await store.read("jobs/a"),
        await store.snapshot("jobs/"),
        await store.watch("jobs/", 1, 0.0),
        await store.transact(write("jobs/a", "1")),
    ]
    assert [type(reply.err()) for reply in replies] == [Unsettled] * 4
    await pool.close()
    await runner.cleanup()


@pytest.mark.parametrize("status", [500, 502, 504])
async def test_transaction_that_a_server_error_answers_is_unsettled(stand_in, status):
    # Any status but 200, 412 and 503 was taken to prove that nothing was done.
    app = stand_in.make_app()

    @web.middleware
    async def replace_status(request, handler):
        await handler(request)
        return web.json_response({}, status=status)

    app.middlewares.append(replace_status)
    runner, address = await serve(app)
    pools = (ConnectionPool(), ConnectionPool())
    callers = [
        HttpCaller(pool, f"http://{address}", metrics=Metrics()) for pool in pools
    ]
    store = PlatformStore(*callers, SystemClock())
    result = await store.transact(write("jobs/a", "text", 0))
    for pool in pools:
        await pool.close()
    await runner.cleanup()
    assert stand_in.table.find("jobs/a") is not None
    assert isinstance(result.err(), Unsettled)
