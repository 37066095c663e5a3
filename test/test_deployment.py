"""Tests of the allocation of ports to deployments on one machine."""

from dragonflywing.load.deployment import PortPool


class TestPortPool:
    def test_concurrent_pools_return_distinct_ports(self):
        pools = [PortPool() for _ in range(4)]
        ports = [port for pool in pools for port in (pool.take() for _ in range(200))]
        assert len(ports) == len(set(ports))
