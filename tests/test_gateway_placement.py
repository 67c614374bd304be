"""Choice of the gateways of a backend server, and the cost of ranking them."""

from unittest.mock import patch

from testtools import TestCase

from lentilring.catalog.source import ProxyEntry
from lentilring.gateways.placement import choose_gateways, rank_gateways
from lentilring.placement import Ranking, rank_members, score_member

from .test_takeover import build_entry

DOMAINS = ("casa-a", "mrk-a", "fes-a")


def build_proxies(count: int) -> list[ProxyEntry]:
    return [
        ProxyEntry(
            vm=f"vm-{index}",
            address=f"127.0.0.1:{index + 1}",
            failure_domain=DOMAINS[index % 3],
            region=DOMAINS[index % 3],
            incarnation=1,
            weight=1.0,
        )
        for index in range(count)
    ]


def is_never_suspect(vm: str) -> bool:
    return False


class GatewayPlacementTest(TestCase):
    def test_two_of_the_domain_and_one_outside_are_asked(self) -> None:
        """Guards against a server that is unreachable when its failure domain's proxies are."""
        server = build_entry("i-1")
        chosen = choose_gateways(
            server, Ranking(members=build_proxies(12)), is_suspect=is_never_suspect
        )
        domains = [entry.failure_domain for entry in chosen]
        self.assertEqual(["casa-a", "casa-a"], domains[:2])
        self.assertEqual(3, len(chosen))
        self.assertNotEqual("casa-a", domains[2])

    def test_suspects_are_asked_last(self) -> None:
        """Guards against statements that wait for a proxy that is known not to answer."""
        server, ranking = build_entry("i-1"), Ranking(members=build_proxies(12))
        own = [entry.vm for entry in ranking.rank("i-1", preferred_failure_domain="casa-a")][:4]
        chosen = choose_gateways(server, ranking, is_suspect=lambda vm: vm in own[:3])
        self.assertEqual(own[3], chosen[0].vm)
        self.assertTrue(all(entry.vm not in own[:3] for entry in chosen))
        everyone = list(rank_gateways(server, ranking, is_suspect=lambda vm: vm in own[:3]))
        self.assertEqual(set(own[:3]), {entry.vm for entry in everyone[-3:]})

    def test_lone_proxy_is_asked(self) -> None:
        """Guards against a deployment of a single proxy that finds no gateway."""
        ranking = Ranking(members=build_proxies(1))
        chosen = choose_gateways(build_entry("i-1"), ranking, is_suspect=lambda vm: True)
        self.assertEqual(["vm-0"], [entry.vm for entry in chosen])

    def test_order_is_computed_once_for_each_key(self) -> None:
        """Guards against hashing all proxies for each statement (84 VMs: 84 hashes)."""
        proxies = build_proxies(84)
        ranking = Ranking(members=proxies)
        with patch("lentilring.placement.score_member", wraps=score_member) as score:
            for _ in range(50):
                ranked = ranking.rank("i-1", preferred_failure_domain="casa-a")
        self.assertEqual(84, score.call_count)
        expected = rank_members("i-1", proxies, preferred_failure_domain="casa-a")
        self.assertEqual(expected, list(ranked))
