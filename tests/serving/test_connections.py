"""Which connections are closed: after a time limit, or for a new one."""

import pytest

from bankrudder.serving import ConnectionState, ConnectionTable, ConnectionTimeouts

TIMEOUTS = ConnectionTimeouts(head_s=3.0, idle_s=15.0)


class FakeConnection:
    def __init__(self, clock, state=ConnectionState.IDLE):
        self.state = state
        self.waiting_since = clock.monotonic()
        self.reason = None
        self.is_closing = False

    def abort(self, reason):
        self.reason = reason

    def close_after_answer(self):
        self.is_closing = True


@pytest.fixture
def table(manual_clock):
    return ConnectionTable(2, manual_clock)


@pytest.fixture
def connect(table, manual_clock):
    def connect(state=ConnectionState.IDLE):
        connection = FakeConnection(manual_clock, state)
        table.add(connection)
        manual_clock.advance(1.0)
        return connection

    return connect


def test_the_longest_waiting_connection_gives_way_to_a_new_one(table, connect):
    oldest, newer, newest = connect(), connect(ConnectionState.BODY), connect()
    assert oldest.reason == "closed for a new connection"
    assert (newer.reason, newest.reason) == (None, None)
    assert len(table) == 2
    assert table.closed_count == 1


def test_a_request_in_progress_gives_way_to_none(table, connect):
    busy, idle = connect(ConnectionState.BUSY), connect()
    newer = connect()
    assert (busy.reason, newer.reason) == (None, None)
    assert idle.reason is not None
    newer.state = ConnectionState.BUSY
    assert connect().reason == "too many connections"
    assert len(table) == 2


def test_requests_sent_in_advance_keep_no_connection_for_good(table, connect):
    first, second = (connect(ConnectionState.BUSY) for _ in range(2))
    connect()
    assert (first.is_closing, second.is_closing) == (True, False)
    connect()
    assert (first.is_closing, second.is_closing) == (True, True)
    table.discard(first)
    assert connect().reason is None


def test_a_closed_connection_leaves_its_place(table, connect):
    first, second = connect(), connect()
    table.discard(first)
    connect()
    assert second.reason is None


@pytest.mark.parametrize(
    ("state", "limit_s"),
    [
        (ConnectionState.IDLE, 15.0),
        (ConnectionState.HEAD, 3.0),
        (ConnectionState.BODY, 15.0),
        (ConnectionState.SENDING, 15.0),
        (ConnectionState.BUSY, None),
    ],
)
def test_a_connection_is_closed_after_the_limit_of_its_state(
    table, manual_clock, state, limit_s
):
    connection = FakeConnection(manual_clock, state)
    table.add(connection)
    manual_clock.advance((limit_s or 1000.0) - 0.1)
    table.close_expired(TIMEOUTS)
    assert connection.reason is None
    manual_clock.advance(0.1)
    table.close_expired(TIMEOUTS)
    assert connection.reason == ("time limit" if limit_s else None)
    assert len(table) == (0 if limit_s else 1)


def test_limits_that_change_apply_to_open_connections(table, connect):
    connection = connect()
    table.close_expired(ConnectionTimeouts(idle_s=0.5))
    assert connection.reason == "time limit"
