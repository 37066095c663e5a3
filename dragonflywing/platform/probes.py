"""HTTP servers of an instance: the load balancer's ready probe and the metrics."""

from dragonflywing import http


async def start(node, settings):
    """Serve the ready probe and the metrics, each on its own port."""

    def ready():
        return (200 if node.is_ready() else 503), b""

    def metrics():
        return 200, node.metrics.as_text().encode()

    host = settings.host
    await http.serve(host, settings.ready_port, "/-/ready", ready, node.metrics)
    await http.serve(host, settings.metrics_port, "/metrics", metrics, node.metrics)
