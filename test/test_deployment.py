"""What deployments for tests share on one machine."""

from dragonflywing.load.deployment import PortPool


class TestPortPool:
    def test_pools_at_the_same_time_share_no_port(self):
        pools = [PortPool() for _ in range(4)]
        taken = [port for pool in pools for port in (pool.take() for _ in range(200))]
        assert len(taken) == len(set(taken))
