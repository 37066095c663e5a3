"""Thrift connections between entry instances."""

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
from thriftpy2.transport import TTransportException

from dragonflywing import metering
from dragonflywing.decisions import memory_budget

idl = thriftpy2.load(
    os.path.join(os.path.dirname(__file__), "peer.thrift"), module_name="peer_thrift"
)

CALL_TIMEOUT_S = 1.0
# The largest message is a configuration, at most 1,000,000 bytes.
MAX_MESSAGE_BYTES = 4 << 20
# The messages before a connection is authenticated have under 100 bytes. A byte can
# decode to an object of some 400.
MAX_HANDSHAKE_BYTES = 1024
CONNECTION_ERRORS = (
    OSError,
    TException,
    TimeoutError,
    asyncio.IncompleteReadError,
    EOFError,
)


def compute_proof(secret, nonce):
    """Return the HMAC that proves knowledge of the shared secret."""
    return hmac.new(secret.encode(), nonce, hashlib.sha256).digest()


class CountedStream(StreamHandler):
    """A stream that counts the bytes read and written, and bounds messages.

    `max_bytes` is the largest size of a message, of which one arrives at a time.
    Large ones are charged to the memory budget.
    """

    def __init__(self, reader, writer, metrics, max_bytes=MAX_MESSAGE_BYTES):
        super().__init__(reader, writer)
        self.metrics = metrics
        self.max_bytes = max_bytes
        self.metered = metering.Metered(reader, writer, is_timed=False)
        self._unsent_held = 0
        self._is_reserved = False

    def begin_message(self):
        """Note that a message is awaited; the one before has been handled."""
        self.end_message()
        self.metered.begin_message()

    def end_message(self):
        """Release what a message held."""
        self.metered.release(self.metered.end_message())
        self._is_reserved = False

    async def read(self, sz):
        data = await super().read(sz)
        if self.metrics:
            self.metrics.count("peer.bytes", len(data))
        metered = self.metered
        metered.partial += len(data)
        if metered.partial > self.max_bytes:
            metering.meter.note("peer_message", bytes=metered.partial)
            raise TTransportException(message="message too large")
        if metered.partial > memory_budget.SMALL_BYTES and not self._is_reserved:
            self._is_reserved = True
            size = self.max_bytes * memory_budget.FRAME_COPIES
            try:
                await metered.reserve(size, CALL_TIMEOUT_S)
            except metering.NoMemory:
                raise TTransportException(message="no memory") from None
        return data

    def write(self, buff):
        if self.metrics:
            self.metrics.count("peer.bytes", len(buff))
        held = self.metered.hold_answer(len(buff))
        if not held and len(buff) > memory_budget.SMALL_BYTES:
            metering.meter.note("answer_too_large", bytes=len(buff))
            raise TTransportException(message="no memory")
        self._unsent_held += held
        super().write(buff)

    async def flush(self):
        await super().flush()
        held, self._unsent_held = self._unsent_held, 0
        self.metered.release(held)

    def end(self):
        """Release what the connection holds."""
        metering.meter.forget(self.metered)


class PeerHandler:
    """Handles one connection; `challenge` and `authenticate` need no proof."""

    def __init__(self, secret, service, metrics):
        self.secret = secret
        self.service = service
        self.metrics = metrics
        self.nonce = secrets.token_bytes(16)
        self.is_authenticated = False

    async def challenge(self):
        """Return the nonce from which the client computes its proof."""
        return idl.Challenge(nonce=self.nonce)

    async def authenticate(self, proof):
        """Verify the client's proof; raise Refused if it is wrong."""
        if isinstance(proof, str):
            proof = proof.encode("utf-8", "surrogateescape")
        self.is_authenticated = hmac.compare_digest(
            proof, compute_proof(self.secret, self.nonce)
        )
        if not self.is_authenticated:
            self.metrics.count("refused.peer_secret")
            raise idl.Refused(reason="wrong peer secret")
        return True

    def _require_authentication(self):
        if not self.is_authenticated:
            self.metrics.count("refused.peer_secret")
            raise idl.Refused(reason="not authenticated")

    async def exchange(self, digest):
        """Merge a peer's digest and return this instance's."""
        self._require_authentication()
        return self.service.exchange(digest)

    async def configuration(self):
        """Return the current configuration as bytes."""
        self._require_authentication()
        return self.service.configuration_bytes()

    async def suspects(self, group, term):
        """Return whether this instance suspects a group's primary."""
        self._require_authentication()
        return self.service.suspects(group, term)

    async def borrow(self, request):
        """Return the answer to a request to borrow a share of a rate."""
        self._require_authentication()
        return self.service.lend(request)

    async def give_back(self, message):
        """Reclaim a share that the peer returns."""
        self._require_authentication()
        self.service.take_back(message)
        return True

    async def report(self):
        """Return the state of the instance for operators."""
        self._require_authentication()
        return idl.Report(json=self.service.report_json())


class PeerServer:
    """Serves the Peer service to other instances and to dfw-ops."""

    def __init__(self, secret, service, metrics):
        self.secret = secret
        self.service = service
        self.metrics = metrics
        self._server = None
        self._writers = set()
        self._silent = {}  # writers of unauthenticated connections, oldest first

    async def start(self, host, port):
        """Listen for connections from peers."""
        limit = metering.meter.connection_limit(memory_budget.INSTANCES_FRACTION)
        self._server = await metering.listen(
            self._serve, host, port, limit=limit, evict=self._evict
        )

    def _evict(self):
        """Close the oldest unauthenticated connection, if there is one."""
        writer = next(iter(self._silent), None)
        if writer is None:
            return False
        del self._silent[writer]
        metering.meter.note("silent_connection")
        writer.transport.abort()
        return True

    async def _serve(self, reader, writer):
        handler = PeerHandler(self.secret, self.service, self.metrics)
        processor = TAsyncProcessor(idl.Peer, handler)
        stream = CountedStream(reader, writer, self.metrics, MAX_HANDSHAKE_BYTES)
        transport = TAsyncBufferedTransportFactory().get_transport(stream)
        protocol = TAsyncBinaryProtocolFactory().get_protocol(transport)
        self._writers.add(writer)
        self._silent[writer] = None
        try:
            while not reader.at_eof():
                stream.begin_message()
                await processor.process(protocol, protocol)
                if handler.is_authenticated:
                    stream.max_bytes = MAX_MESSAGE_BYTES
                    self._silent.pop(writer, None)
        except CONNECTION_ERRORS:
            pass
        except (ValueError, KeyError, IndexError, AttributeError, TypeError):
            self.metrics.count("refused.peer_malformed")
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            self._silent.pop(writer, None)
            stream.end()
            writer.close()

    def close(self):
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class PeerClient:
    """An authenticated connection to a peer, opened on the first call."""

    def __init__(self, address, secret, metrics=None):
        self.address = address
        self.secret = secret
        self.metrics = metrics
        self._client = None
        self._writer = None
        self._stream = None
        self._lock = asyncio.Lock()

    async def _open(self):
        host, port = self.address.rsplit(":", 1)
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self._stream = CountedStream(reader, self._writer, self.metrics)
        transport = TAsyncBufferedTransportFactory().get_transport(self._stream)
        protocol = TAsyncBinaryProtocolFactory().get_protocol(transport)
        client = TAsyncClient(idl.Peer, protocol)
        nonce = (await client.challenge()).nonce
        if isinstance(nonce, str):
            nonce = nonce.encode("utf-8", "surrogateescape")
        await client.authenticate(compute_proof(self.secret, nonce))
        self._client = client

    async def call(self, method, *args, timeout_s=CALL_TIMEOUT_S):
        """Call a method of the peer; return its result, or None on failure."""
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                if self._client is None:
                    await self._open()
                return await self._call(method, args)
        except idl.Refused:
            self.close()
            return None
        except (*CONNECTION_ERRORS, ValueError, TypeError):
            self.close()
            if self.metrics:
                self.metrics.count("peer.call_failed")
            return None
        except BaseException:
            # The answer may still come, and would be taken for that of the next call.
            self.close()
            raise

    async def _call(self, method, args):
        stream = self._stream
        if stream is None:
            return await getattr(self._client, method)(*args)
        stream.begin_message()
        result = await getattr(self._client, method)(*args)
        stream.end_message()
        return result

    def close(self):
        """Close the connection; the next call opens a new one."""
        self._client = None
        if self._stream is not None:
            self._stream.end()
            self._stream = None
        if self._writer is not None:
            self._writer.close()
            self._writer = None
