"""Connections between entry instances, over Thrift."""

import asyncio
import hashlib
import hmac
import os
import secrets

import thriftpy2
from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocolFactory
from thriftpy2.contrib.aio.socket import StreamHandler
from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransportFactory
from thriftpy2.thrift import TException

idl = thriftpy2.load(
    os.path.join(os.path.dirname(__file__), "peer.thrift"), module_name="peer_thrift"
)

CALL_TIMEOUT_S = 1.0
FAILURES = (OSError, TException, TimeoutError, asyncio.IncompleteReadError, EOFError)


def prove(secret, nonce):
    """Return the proof that the sender knows the shared secret."""
    return hmac.new(secret.encode(), nonce, hashlib.sha256).digest()


class CountedStream(StreamHandler):
    """A stream that counts the bytes it carries."""

    def __init__(self, reader, writer, metrics):
        super().__init__(reader, writer)
        self.metrics = metrics

    async def read(self, sz):
        data = await super().read(sz)
        if self.metrics:
            self.metrics.count("peer.bytes", len(data))
        return data

    def write(self, buff):
        if self.metrics:
            self.metrics.count("peer.bytes", len(buff))
        super().write(buff)


class PeerHandler:
    """Answers one connection; every call but the first two needs a proof."""

    def __init__(self, secret, service, metrics):
        self.secret = secret
        self.service = service
        self.metrics = metrics
        self.nonce = secrets.token_bytes(16)
        self.trusted = False

    async def challenge(self):
        """Return a nonce to prove knowledge of the secret with."""
        return idl.Challenge(nonce=self.nonce)

    async def authenticate(self, proof):
        """Check the proof."""
        if isinstance(proof, str):
            proof = proof.encode("utf-8", "surrogateescape")
        self.trusted = hmac.compare_digest(proof, prove(self.secret, self.nonce))
        if not self.trusted:
            self.metrics.count("refused.peer_secret")
            raise idl.Refused(reason="wrong peer secret")
        return True

    def _check(self):
        if not self.trusted:
            self.metrics.count("refused.peer_secret")
            raise idl.Refused(reason="not authenticated")

    async def exchange(self, digest):
        """Take a digest and return the own one."""
        self._check()
        return self.service.exchange(digest)

    async def configuration(self):
        """Return the configuration in force."""
        self._check()
        return self.service.configuration_bytes()

    async def suspects(self, group, term):
        """Return whether this instance suspects a group's primary."""
        self._check()
        return self.service.suspects(group, term)

    async def borrow(self, request):
        """Lend a share of a workspace."""
        self._check()
        return self.service.lend(request)

    async def give_back(self, message):
        """Take a lent share back."""
        self._check()
        self.service.take_back(message)
        return True

    async def report(self):
        """Return the state of the instance for operators."""
        self._check()
        return idl.Report(json=self.service.report_json())


class PeerServer:
    """Serves the Peer service to other instances and to dfw-ops."""

    def __init__(self, secret, service, metrics):
        self.secret = secret
        self.service = service
        self.metrics = metrics
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        """Listen for peers."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        handler = PeerHandler(self.secret, self.service, self.metrics)
        processor = TAsyncProcessor(idl.Peer, handler)
        stream = CountedStream(reader, writer, self.metrics)
        transport = TAsyncBufferedTransportFactory().get_transport(stream)
        protocol = TAsyncBinaryProtocolFactory().get_protocol(transport)
        self._writers.add(writer)
        try:
            while not reader.at_eof():
                await processor.process(protocol, protocol)
        except FAILURES:
            pass
        except (ValueError, KeyError, IndexError, AttributeError, TypeError):
            self.metrics.count("refused.peer_malformed")
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        """Stop serving."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class PeerClient:
    """One authenticated connection to a peer, opened when first used."""

    def __init__(self, address, secret, metrics=None):
        self.address = address
        self.secret = secret
        self.metrics = metrics
        self._client = None
        self._writer = None
        self._lock = asyncio.Lock()

    async def _open(self):
        host, port = self.address.rsplit(":", 1)
        reader, self._writer = await asyncio.open_connection(host, int(port))
        stream = CountedStream(reader, self._writer, self.metrics)
        transport = TAsyncBufferedTransportFactory().get_transport(stream)
        protocol = TAsyncBinaryProtocolFactory().get_protocol(transport)
        client = TAsyncClient(idl.Peer, protocol)
        nonce = (await client.challenge()).nonce
        if isinstance(nonce, str):
            nonce = nonce.encode("utf-8", "surrogateescape")
        await client.authenticate(prove(self.secret, nonce))
        self._client = client

    async def call(self, method, *args, timeout_s=CALL_TIMEOUT_S):
        """Return the answer of a call, or None if the peer did not give one."""
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                if self._client is None:
                    await self._open()
                return await getattr(self._client, method)(*args)
        except idl.Refused:
            self.close()
            return None
        except (*FAILURES, ValueError, TypeError):
            self.close()
            if self.metrics:
                self.metrics.count("peer.call_failed")
            return None
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self):
        """Close the connection; the next call opens a new one."""
        self._client = None
        if self._writer is not None:
            self._writer.close()
            self._writer = None
