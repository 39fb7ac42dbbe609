"""Tests of the tables of connections: how many are open, and which gives way."""

from __future__ import annotations

from typing import Any

from postpass.http_server.connection_table import ConnectionTable
from postpass.http_server.limits import ResourceLimits
from postpass.rpc.link_table import LinkTable, links_of_process


class Connection:
    def __init__(self) -> None:
        self.closed = False

    def close_at_once(self) -> None:
        self.closed = True


def test_the_connection_that_is_idle_for_longest_gives_way() -> None:
    table, connections = ConnectionTable(3), [Connection() for _ in range(4)]
    assert all(table.add(connection) for connection in connections[:3])
    table.mark_busy(connections[0])
    table.mark_busy(connections[1])
    table.mark_idle(connections[1])
    assert table.add(connections[3])
    assert [connection.closed for connection in connections] == [False, False, True, False]
    assert len(table.connections) == 3


def test_a_new_connection_is_closed_if_none_is_idle() -> None:
    table, connections = ConnectionTable(2), [Connection() for _ in range(3)]
    for connection in connections[:2]:
        assert table.add(connection)
        table.mark_busy(connection)
    assert not table.add(connections[2])
    table.discard(connections[0])
    assert table.add(connections[2])


def test_a_closed_connection_does_not_become_idle() -> None:
    table, connection = ConnectionTable(2), Connection()
    assert table.add(connection)
    table.discard(connection)
    table.mark_idle(connection)
    assert (table.idle, table.connections) == ({}, set())


class Link:
    """Stands in for a stream writer."""

    def __init__(self) -> None:
        self.transport = self
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


def test_links_without_a_handshake_give_way_to_new_ones() -> None:
    table = LinkTable(4)
    links: Any = [Link() for _ in range(6)]
    assert table.add(links[0])
    table.mark_agreed(links[0])
    assert all(table.add(link) for link in links[1:4])
    assert [link.aborted for link in links] == [False, True, False, False, False, False]
    for link in links[2:4]:
        table.mark_agreed(link)
    assert table.add(links[4])
    table.mark_agreed(links[4])
    assert not table.add(links[5]) and len(table) == 4


def test_clients_and_peers_leave_descriptors_for_files_and_workers() -> None:
    for descriptors in (300, 1024, 4100):
        clients = ResourceLimits.of_process(300 << 20, descriptors)
        accepted = clients.connections + clients.listen_queue
        assert accepted < descriptors - 100 and links_of_process(descriptors) < descriptors // 2
        assert clients.connections + links_of_process(descriptors) < descriptors
