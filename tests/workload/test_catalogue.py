"""Tests of the routing of requests to queues, and of its cost."""

from __future__ import annotations

from chiveledge.workload import Catalogue, Queue


def make_catalogue(*prefixes, host="h"):
    queues = [Queue(host + prefix, host, prefix, "s") for prefix in prefixes]
    return Catalogue(queues={queue.key: queue for queue in queues})


def test_longest_prefix_wins_and_shorter_ones_are_listed():
    catalogue = make_catalogue("/", "/a/", "/a/b/", "/c/")
    match = catalogue.find_route("h", "/a/b/1")
    assert match.queue.key == "h/a/b/"
    assert match.shorter == ("h/a/", "h/")


def test_other_host_and_unknown_path_have_no_route():
    catalogue = make_catalogue("/a/")
    assert catalogue.find_route("g", "/a/1") is None
    assert catalogue.find_route("h", "/b/1") is None


class CountingPath(str):
    """Path that counts the prefixes it is compared with."""

    compared = 0

    def startswith(self, *prefix):
        CountingPath.compared += 1
        return super().startswith(*prefix)


def test_cost_of_routing_is_independent_of_routes_of_other_hosts():
    queues = {
        f"h{number}/a/": Queue(f"h{number}/a/", f"h{number}", "/a/", "s")
        for number in range(2000)
    }
    catalogue = Catalogue(queues=queues)
    assert catalogue.find_route("h7", CountingPath("/a/1")).queue.host == "h7"
    assert CountingPath.compared == 1
