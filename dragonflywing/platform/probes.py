"""HTTP servers of an instance: the load balancer's ready probe and the metrics."""

from aiohttp import web


async def start(node, settings):
    """Serve the ready probe and the metrics, each on its own port."""

    async def ready(_request):
        return web.Response(status=200 if node.is_ready() else 503)

    async def metrics(_request):
        return web.Response(text=node.metrics.as_text())

    for port, path, handler in (
        (settings.ready_port, "/-/ready", ready),
        (settings.metrics_port, "/metrics", metrics),
    ):
        app = web.Application()
        app.router.add_get(path, handler)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, settings.host, port).start()
