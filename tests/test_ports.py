"""Ports of the tests: processes that run at the same time use different ones."""

from testtools import TestCase

from .prepared import PORT_BLOCKS, PORTS_PER_BLOCK, reserve_block


class PortTest(TestCase):
    def test_block_of_ports_has_one_owner(self) -> None:
        """Guards against test processes whose ids choose the same block of ports."""
        pid = 4 * PORT_BLOCKS
        first, second = reserve_block(pid), reserve_block(pid + PORT_BLOCKS)
        self.assertNotEqual(first, second)
        self.assertEqual(0, (second - first) % PORTS_PER_BLOCK)
