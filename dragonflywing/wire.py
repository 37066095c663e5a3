"""Server side of the MySQL protocol, based on mysql-mimic.

Adds what clients need and the library lacks: affected rows, insert ids and
transaction flags in responses, SQLSTATEs, parameters quoted against SQL
injection, a limit on the size of messages, and closing the connection after
failed authentication.
"""

import asyncio
import io
import struct
import sys
import traceback
from datetime import date, datetime, timedelta
from typing import NamedTuple

import sqlglot
from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import (
    Capabilities,
    ColumnType,
    ComStmtExecuteFlags,
    ServerStatus,
    uint_len,
)
from mysql_mimic.variables import GlobalVariables, SessionVariables
from sqlglot.errors import SqlglotError
from sqlglot.tokens import TokenType

from dragonflywing import errors, logs, metering
from dragonflywing.decisions import memory_budget
from dragonflywing.errors import DfwError, Verdict

MAX_PREPARED_STATEMENTS = 1024  # per connection
# What the prepared statements of a connection hold, with parameters sent in advance.
MAX_PREPARED_BYTES = 16 << 20
TEXT_COPIES = 2  # of a prepared statement: its text, and the parts between parameters
MAX_HANDSHAKE_BYTES = 64 << 10  # names, a password and attributes of the connection
MAX_NAME_BYTES = 1024  # user, schema or plugin; the library's parser is quadratic
HANDSHAKE_NAMES_AT = 32  # position after the fixed fields, the end of an SSL request
ROW_BYTES = 24  # of a row beside its values, see rows_size
VALUE_BYTES = 16  # of a value beside its text
MAX_ERROR_CHARS = 512  # errors may quote a part of a long statement
CAPABILITIES = (
    Capabilities.CLIENT_PROTOCOL_41
    | Capabilities.CLIENT_CONNECT_WITH_DB
    | Capabilities.CLIENT_QUERY_ATTRIBUTES
    | Capabilities.CLIENT_CONNECT_ATTRS
    | Capabilities.CLIENT_PLUGIN_AUTH
    | Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capabilities.CLIENT_SECURE_CONNECTION
    | Capabilities.CLIENT_LONG_PASSWORD
    | Capabilities.CLIENT_TRANSACTIONS
    | Capabilities.CLIENT_FOUND_ROWS
)
BLOB_TYPES = {
    ColumnType.BLOB,
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
}
INTEGER_TYPES = {
    ColumnType.TINY,
    ColumnType.SHORT,
    ColumnType.LONG,
    ColumnType.LONGLONG,
    ColumnType.INT24,
    ColumnType.YEAR,
}
GLOBAL_VARIABLES = GlobalVariables()
PARSE_ERRORS = (
    AssertionError,
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    struct.error,
)


class Column(NamedTuple):
    """A column's name and its MySQL type code."""

    name: str
    type_code: int


class Result(NamedTuple):
    """A statement's result: columns and rows, or counts if there are no columns."""

    columns: tuple = ()
    rows: tuple = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    info: bytes = b""


def _skip_name(data, start):
    """Return the position after a name; raise DfwError if it has no end.

    The library's parser looks for the zero byte forever.
    """
    end = data.find(b"\0", start, start + MAX_NAME_BYTES + 1)
    if end < 0:
        raise DfwError(errors.MALFORMED, "name without end")
    return end + 1


def check_handshake(data):
    """Raise DfwError or one of PARSE_ERRORS if a handshake's names have no end.

    Returns whether it is complete, False for an SSL request.
    """
    if len(data) <= HANDSHAKE_NAMES_AT:
        return False
    flags = Capabilities(int.from_bytes(data[:4], "little")) & CAPABILITIES
    reader = io.BytesIO(data)
    reader.seek(_skip_name(data, HANDSHAKE_NAMES_AT))
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        size = packets.read_uint_len(reader)
    else:
        size = reader.read(1)[0]
    position = reader.tell() + size
    for flag in (Capabilities.CLIENT_CONNECT_WITH_DB, Capabilities.CLIENT_PLUGIN_AUTH):
        if flag in flags:
            position = _skip_name(data, position)
    return True


def check_change_user(data, flags):
    """Raise DfwError or one of PARSE_ERRORS if names have no end."""
    position = _skip_name(data, 0)
    if Capabilities.CLIENT_SECURE_CONNECTION in flags:
        position += 1 + data[position]
    else:
        position = _skip_name(data, position)
    position = _skip_name(data, position)
    if position < len(data) and Capabilities.CLIENT_PLUGIN_AUTH in flags:
        _skip_name(data, position + 2)


class LimitedReader(asyncio.StreamReader):
    """A stream reader that rejects messages larger than `max_packet`.

    A message that is too large is read to its end and discarded, so that the
    client reads the error and the sequence numbers match.
    """

    max_packet = 16 * 1024 * 1024
    FULL_PACKET_BYTES = 0xFFFFFF  # a packet of this size is continued by the next
    MAX_DISCARDED_BYTES = 64 * 1024 * 1024  # the rest of a larger message isn't read
    CHUNK_BYTES = 64 * 1024

    def __init__(self):
        super().__init__(limit=metering.BUFFER_BYTES)
        self.metered = None
        self._has_handshake = False
        self._message_bytes = 0

    async def readexactly(self, n):
        self._message_bytes += n
        if self._message_bytes <= self.max_packet:
            if n > memory_budget.SMALL_BYTES:
                await self.metered.reserve(n * memory_budget.MESSAGE_COPIES)
            data = await metering.read_exactly(super(), n)
            self.metered.partial += n
            if not self._has_handshake:
                self._has_handshake = check_handshake(data)
            return data
        if self._message_bytes <= self.MAX_DISCARDED_BYTES:
            remaining = n
            while remaining:
                data = await super().readexactly(min(remaining, self.CHUNK_BYTES))
                remaining -= len(data)
                self.metered.partial += len(data)
            if n == self.FULL_PACKET_BYTES:
                return b""
        size = self._message_bytes
        raise DfwError(errors.TOO_LARGE, f"message of {size} bytes is too large")

    async def read(self, n=-1):
        # The library reads packet headers here and expects all 4 bytes or none.
        if n != 4:
            return await super().read(n)
        try:
            header = await super().readexactly(4)
        except asyncio.IncompleteReadError:
            return b""
        self.metered.partial += 4
        if header[3] == 0:
            self._message_bytes = 0
        return header


class CallerProtocol(metering.CountedProtocol):
    """Passes TLS data that arrives with the SSL request to the handshake.

    The library's upgrade to TLS loses data that its reader has already buffered.
    """

    SSL_REQUEST_BYTES = 36  # header of 4 bytes and body of 32
    CLIENT_SSL = 0x0800  # capability flag that marks an SSL request

    def connection_made(self, transport):
        """Store the transport; the upgrade to TLS replaces its protocol."""
        super().connection_made(transport)
        self._plain_transport = transport
        self._first_data = b""
        self._early_data = b""
        self._is_upgrading = False

    def data_received(self, data):
        """Forward data up to the end of an SSL request and buffer the rest."""
        if self._is_upgrading:
            self._early_data += data
            return
        if self._first_data is None:
            super().data_received(data)
            return
        self._first_data += data
        if len(self._first_data) >= 8:
            self._pass_first_data()

    def _pass_first_data(self):
        size = int.from_bytes(self._first_data[:3], "little") + 4
        flags = int.from_bytes(self._first_data[4:6], "little")
        is_ssl_request = size == self.SSL_REQUEST_BYTES and flags & self.CLIENT_SSL
        if is_ssl_request and len(self._first_data) < self.SSL_REQUEST_BYTES:
            return
        end = self.SSL_REQUEST_BYTES if is_ssl_request else len(self._first_data)
        first_data, self._early_data, self._first_data = (
            self._first_data[:end],
            self._first_data[end:],
            None,
        )
        self._is_upgrading = bool(is_ssl_request)
        super().data_received(first_data)
        if is_ssl_request:
            self._upgrade_task = asyncio.ensure_future(self._pass_early_data())

    async def _pass_early_data(self):
        transport = self._plain_transport
        while transport.get_protocol() is self and not transport.is_closing():
            await asyncio.sleep(0)
        # The TLS protocol starts in the loop's next iteration.
        await asyncio.sleep(0)
        self._is_upgrading = False
        data, tls = self._early_data, transport.get_protocol()
        # A transport that was closed meanwhile may have no protocol.
        while data and tls is not self and tls is not None:
            buffer = tls.get_buffer(len(data))
            count = min(len(buffer), len(data))
            buffer[:count] = data[:count]
            tls.buffer_updated(count)
            data = data[count:]


def _parse(function, *args, **kwargs):
    """Call a packet parser; raise DfwError if the packet is malformed."""
    try:
        return function(*args, **kwargs)
    except PARSE_ERRORS as exc:
        message = f"malformed packet: {type(exc).__name__}"
        raise DfwError(errors.MALFORMED, message) from None


def _column(column, rows, index):
    column_type = ColumnType(column.type_code)
    if column_type is ColumnType.NULL:
        column_type = ColumnType.VARCHAR
    if column_type in BLOB_TYPES and any(isinstance(row[index], bytes) for row in rows):
        return ResultColumn(column.name, column_type, CharacterSet.binary)
    return ResultColumn(column.name, column_type)


def _columns(result):
    return [_column(item, result.rows, i) for i, item in enumerate(result.columns)]


def rows_size(rows):
    """Return the bytes of rows: of their texts, and a share for each object.

    The share is a third of what Python takes, as the size counts for all copies.
    """
    texts = (str, bytes)
    size = sum(len(x) for row in rows for x in row if isinstance(x, texts))
    return size + sum(ROW_BYTES + VALUE_BYTES * len(row) for row in rows)


def _parse_time(text):
    sign = -1 if text.startswith("-") else 1
    hours, minutes, seconds = text.lstrip("-").split(":")
    span = timedelta(hours=int(hours), minutes=int(minutes), seconds=float(seconds))
    return sign * span


def _to_binary_value(value, column_type):
    """Convert a value of the text protocol for the encoder of the binary protocol."""
    if value is None or not isinstance(value, str):
        return value
    if column_type in INTEGER_TYPES:
        return int(value)
    if column_type in (ColumnType.FLOAT, ColumnType.DOUBLE):
        return float(value)
    if column_type is ColumnType.DATE:
        return date.fromisoformat(value)
    if column_type in (ColumnType.DATETIME, ColumnType.TIMESTAMP):
        return datetime.fromisoformat(value)
    if column_type is ColumnType.TIME:
        return _parse_time(value)
    return value


def quote(value):
    """Return a parameter as an SQL literal, safe against injection."""
    if value is None:
        return "NULL"
    if isinstance(value, bool):
        return "1" if value else "0"
    if isinstance(value, str):
        # Parameters were decoded as latin1, which preserves every byte.
        data = value.encode("latin1")
        try:
            text = data.decode("utf-8")
        except UnicodeDecodeError:
            return f"X'{data.hex()}'"
        if "\x00" in text:
            return f"X'{data.hex()}'"
        return "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"
    if isinstance(value, (int, float)):
        return repr(value)
    return f"'{value}'"


def split_placeholders(sql):
    """Split a statement at its parameter markers and return the parts."""
    try:
        tokens = sqlglot.tokenize(sql, read="mysql")
    except SqlglotError as exc:
        raise DfwError(errors.SYNTAX, f"syntax error: {exc}") from None
    parts = []
    start = 0
    for token in tokens:
        if token.token_type is TokenType.PLACEHOLDER:
            parts.append(sql[start : token.start])
            start = token.end + 1
    return [*parts, sql[start:]]


class WireSession(BaseSession):
    """Session of one connection; subclasses override `execute`."""

    def __init__(self):
        self.variables = SessionVariables(GLOBAL_VARIABLES)
        self.username = None
        self.database = None
        self.connection = None

    async def init(self, connection):
        self.connection = connection

    async def execute(self, sql, attrs):
        """Return the Result of a statement, or raise DfwError."""
        raise NotImplementedError

    def in_transaction(self):
        """Return whether the session is inside a transaction."""
        return False

    def autocommit(self):
        """Return whether each statement is a transaction of its own."""
        return True


def _statement_bytes(stmt):
    """Return how many bytes a prepared statement holds."""
    parameters = sum(map(len, (stmt.param_buffers or {}).values()))
    text = TEXT_COPIES * sys.getsizeof(stmt.sql)
    return memory_budget.ENTRY_BYTES + text + parameters


class WireConnection(Connection):
    """Protocol state of one caller's connection."""

    def __init__(
        self, *args, handshake_s=10.0, on_error=None, max_packet=2**24, **kwargs
    ):
        super().__init__(*args, **kwargs)
        self.max_packet = max_packet
        self.handshake_s = handshake_s
        self.on_error = on_error
        self.statement_parts = {}
        self._kept = memory_budget.Kept()
        self.final_error_sent = False
        self.on_command = lambda conn: None
        reader, writer = self.stream.reader, self.stream.writer
        self.metered = metering.Metered(reader, writer, self._send_limit_error)
        reader.metered = self.metered

    def set_workspace(self, workspace):
        """Charge what the connection holds from now on to a workspace."""
        self.metered.set_workspace(workspace)
        self._kept.workspace = workspace

    def forget_statements(self):
        """Drop all prepared statements."""
        self.prepared_stmts.clear()
        self.statement_parts.clear()
        self._charge_statements()

    def _charge_statements(self, more=0):
        """Charge the prepared statements; raise DfwError without room for `more`."""
        size = more + sum(map(_statement_bytes, self.prepared_stmts.values()))
        is_over = size > max(MAX_PREPARED_BYTES, self._kept.size)
        if is_over or not metering.meter.keep(self._kept, size):
            metering.meter.note("session_state", workspace=self._kept.workspace)
            text = "no memory for the prepared statement"
            raise DfwError(errors.OVERLOADED, text)

    def _send_limit_error(self, reason):
        exc = DfwError(errors.OVERLOADED, f"closed: {reason.replace('_', ' ')}")
        self.send_final_error(exc)

    def send_final_error(self, exc):
        """Send an error in advance as the response to the caller's next command.

        No further command runs; the sending side of the connection is closed.
        """
        if self.final_error_sent or self.stream.writer.is_closing():
            return
        self.final_error_sent = True
        packet = self.make_error(exc)
        header = struct.pack("<I", len(packet) | 1 << 24)
        self.stream.writer.write(header + packet)
        if self.stream.writer.can_write_eof():
            self.stream.writer.write_eof()

    async def connection_phase(self):
        transport = self.stream.writer.transport
        protocol = transport.get_protocol()
        try:
            async with asyncio.timeout(self.handshake_s):
                await super().connection_phase()
        except TimeoutError:
            raise MysqlError("handshake timed out") from None
        finally:
            is_upgraded = self.stream.writer.transport is not transport
            if not is_upgraded and transport.get_protocol() is not protocol:
                # A TLS protocol doesn't report a connection that is lost during its
                # handshake, which would stay counted as open.
                transport.abort()
                asyncio.get_running_loop().call_soon(protocol.connection_lost, None)

    async def authenticate(self, *args, **kwargs):
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            raise ConnectionClosed("authentication failed")

    async def command_phase(self):
        """Serve commands until the client disconnects."""
        while True:
            self.metered.begin_message()
            data = await self._read_command()
            held = self.metered.end_message()
            if data is None or data[:1] == b"\x01":
                return
            self.on_command(self)
            if self.final_error_sent:
                # The final error, already sent, says that the command did not run.
                continue
            self._set_status()
            try:
                await self._dispatch(data)
            except DfwError as exc:
                await self._answer_error(exc)
            except MysqlError as exc:
                code = errors.Code(int(exc.code), "HY000", "protocol")
                await self._answer_error(DfwError(code, exc.msg))
            except (OSError, ConnectionClosed) as exc:
                # A frame of the traceback refers to the exception, which would keep
                # the result until the next collection.
                traceback.clear_frames(exc.__traceback__)
                return
            except Exception as exc:
                logs.warn("internal_error", error=type(exc).__name__, message=str(exc))
                await self._answer_error(
                    uncertain_error(errors.INTERNAL, "internal error")
                )
            finally:
                self.stream.reset_seq()
                # A large statement isn't kept while the next one is awaited.
                data = None
                self.metered.release(held)

    async def _read_command(self):
        try:
            return await self.stream.read()
        except (ConnectionClosed, asyncio.IncompleteReadError, OSError):
            return None
        except DfwError as exc:
            await self._answer_error(exc)
            return None
        except MysqlError as exc:
            await self._answer_error(DfwError(errors.MALFORMED, exc.msg))
            return None
        except metering.NoMemory:
            exc = DfwError(errors.OVERLOADED, "no memory for the statement")
            await self._answer_error(exc)
            return None

    async def _dispatch(self, data):
        handler = {
            0x02: self.handle_init_db,
            0x03: self.handle_query,
            0x0E: self.handle_ping,
            0x11: self.handle_change_user,
            0x16: self.handle_stmt_prepare,
            0x17: self.handle_stmt_execute,
            0x18: self.handle_stmt_send_long_data,
            0x19: self.handle_stmt_close,
            0x1A: self.handle_stmt_reset,
            0x1F: self.handle_reset_connection,
        }.get(data[0] if data else None)
        if handler is None:
            raise DfwError(errors.Code(1047, "08S01", "command"), "unsupported command")
        await handler(data[1:])

    async def _answer_error(self, exc):
        if self.on_error:
            self.on_error(exc)
        await self.stream.write(self.make_error(exc))

    def make_error(self, exc):
        """Return the error packet with the exception's number and SQLSTATE."""
        head = struct.pack("<BH", 0xFF, exc.code.errno)
        state = b"#" + exc.code.sqlstate.encode()
        text = str(exc)[:MAX_ERROR_CHARS]
        return head + state + text.encode("utf-8", "replace")

    def _set_status(self):
        flags = ServerStatus(0)
        if self.session.in_transaction():
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if self.session.autocommit():
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.status_flags = flags

    async def handle_query(self, data):
        if Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            query = _parse(
                packets.parse_com_query,
                capabilities=self.capabilities,
                client_charset=self.client_charset,
                data=data,
            )
            sql, attrs = query.sql, query.query_attrs
        else:
            sql, attrs = data.decode("utf-8", "surrogateescape"), {}
        result = await self.session.execute(sql, attrs)
        self._set_status()
        if not result.columns:
            await self._write_ok(result)
            return
        held = self._hold_result(result)
        try:
            columns = _columns(result)
            await self.write_text_resultset(ResultSet(result.rows, columns))
        finally:
            self.metered.release(held)

    def _hold_result(self, result):
        """Reserve bytes for a result, or raise an error that replaces it."""
        size = rows_size(result.rows)
        held = self.metered.hold_answer(size)
        if not held and size > memory_budget.SMALL_BYTES:
            metering.meter.note("answer_too_large", bytes=size)
            raise errors.no_memory_for_result()
        return held

    async def _write_ok(self, result):
        data = self.ok(
            affected_rows=result.affected_rows, last_insert_id=result.last_insert_id
        )
        await self.stream.write(data + result.info)

    async def handle_stmt_prepare(self, data):
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise DfwError(errors.STATEMENT_REFUSED, "too many prepared statements")
        sql = data.decode("utf-8", "surrogateescape")
        parts = split_placeholders(sql)
        stmt = PreparedStatement(next(self.prepared_stmt_seq), sql, len(parts) - 1)
        self._charge_statements(_statement_bytes(stmt))
        self.prepared_stmts[stmt.stmt_id] = stmt
        self.statement_parts[stmt.stmt_id] = parts
        for packet in self.com_stmt_prepare_response(stmt):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_close(self, data):
        self.statement_parts.pop(
            _parse(packets.parse_com_stmt_close, data).stmt_id, None
        )
        await super().handle_stmt_close(data)
        self._charge_statements()

    async def handle_stmt_send_long_data(self, data):
        chunk = _parse(packets.parse_com_stmt_send_long_data, data)
        buffers = self.get_stmt(chunk.stmt_id).param_buffers or {}
        size = sum(len(item) for item in buffers.values()) + len(chunk.data)
        if size > self.max_packet:
            raise DfwError(errors.TOO_LARGE, f"parameters of {size} bytes")
        self._charge_statements(len(chunk.data))
        await super().handle_stmt_send_long_data(data)

    async def handle_stmt_reset(self, data):
        stmt = self.get_stmt(_parse(packets.parse_com_stmt_reset, data).stmt_id)
        stmt.param_buffers = None
        self._charge_statements()
        await self.stream.write(self.ok())

    async def handle_change_user(self, data):
        _parse(check_change_user, data, self.capabilities)
        await super().handle_change_user(data)

    async def handle_reset_connection(self, data):
        await self.session.reset()
        self.forget_statements()
        self._set_status()
        await self.stream.write(self.ok())

    def _bind(self, data):
        reader = io.BytesIO(data)
        stmt = self.get_stmt(struct.unpack("<I", reader.read(4))[0])
        flags = reader.read(1)[0]
        reader.read(4)  # iteration count, always 1
        has_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        has_count = flags & ComStmtExecuteFlags.PARAMETER_COUNT_AVAILABLE
        count = stmt.num_params
        if has_attributes and (count or has_count):
            count = packets.read_uint_len(reader)
        params = []
        if count:
            params = packets._read_params(
                self.capabilities,
                CharacterSet.latin1,
                reader,
                count,
                stmt.param_buffers,
            )
        if stmt.param_buffers is not None:
            stmt.param_buffers = None
            self._charge_statements()
        parts = self.statement_parts[stmt.stmt_id]
        pieces = [parts[0]]
        for (_, value), part in zip(params, parts[1:], strict=False):
            pieces += [quote(value), part]
        attrs = {name: value for name, value in params[stmt.num_params :] if name}
        return "".join(pieces), attrs

    async def handle_stmt_execute(self, data):
        sql, attrs = _parse(self._bind, data)
        result = await self.session.execute(sql, attrs)
        self._set_status()
        if not result.columns:
            await self._write_ok(result)
            return
        held = self._hold_result(result)
        try:
            await self._write_binary_rows(result)
        finally:
            self.metered.release(held)

    async def _write_binary_rows(self, result):
        columns = _columns(result)
        await self.stream.write(uint_len(len(columns)), drain=False)
        for column in columns:
            definition = packets.make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            await self.stream.write(definition, drain=False)
        await self.stream.write(self.eof(), drain=False)
        for row in result.rows:
            values = [
                _to_binary_value(v, c.type) for v, c in zip(row, columns, strict=True)
            ]
            packet = packets.make_binary_resultrow(values, columns)
            await self.stream.write(packet, drain=False)
        await self.stream.write(self.ok_or_eof())


class WireServer:
    """Accepts connections; `make_session` creates the WireSession of each."""

    def __init__(self, make_session, identity, max_callers, **options):
        self.make_session = make_session
        self.identity = identity
        self.max_callers = max_callers
        self.max_packet = options.pop("max_packet", LimitedReader.max_packet)
        self.ssl = options.pop("ssl", None)
        self.options = options
        self.control = LocalControl()
        self.connections = set()
        self._silent = {}  # connections without a command, oldest first
        self._server = None

    async def start(self, host, port):
        """Listen for connections."""
        text = b"\xff\x10\x04#08004too many connections"
        self._server = metering.Listener(
            self._make_protocol,
            metering.meter.connection_limit(memory_budget.CALLERS_FRACTION),
            self._evict,
            struct.pack("<I", len(text)) + text,
            metering.RECEIVE_BYTES,
        )
        await self._server.start(host, port)

    def _evict(self):
        """Close the oldest connection that has sent no command, if there is one."""
        conn = next(iter(self._silent), None)
        if conn is None:
            return False
        del self._silent[conn]
        metering.meter.note("silent_connection")
        conn.stream.writer.transport.abort()
        return True

    def _note_command(self, conn):
        self._silent.pop(conn, None)

    def _make_protocol(self):
        reader = LimitedReader()
        reader.max_packet = min(self.max_packet, MAX_HANDSHAKE_BYTES)
        return CallerProtocol(reader, self._serve)

    async def _serve(self, reader, writer):
        session = self.make_session()
        conn = WireConnection(
            stream=MysqlStream(reader, writer),
            session=session,
            control=self.control,
            identity_provider=self.identity,
            server_capabilities=CAPABILITIES,
            ssl=self.ssl,
            max_packet=self.max_packet,
            **self.options,
        )
        conn.task = asyncio.current_task()
        conn.on_command = self._note_command
        if len(self.connections) >= self.max_callers:
            code = errors.Code(1040, "08004", "too_many_connections")
            await conn.stream.write(
                conn.make_error(DfwError(code, "too many connections"))
            )
            metering.meter.forget(conn.metered)
            writer.close()
            return
        conn.connection_id = await self.control.add(conn)
        self.connections.add(conn)
        self._silent[conn] = None
        try:
            await conn.connection_phase()
            reader.max_packet = self.max_packet
            conn.set_workspace(session.username or "")
            await session.init(conn)
            await conn.command_phase()
        except (ConnectionClosed, MysqlError, OSError, asyncio.IncompleteReadError):
            pass
        except (*PARSE_ERRORS, DfwError) as exc:
            logs.event("malformed_handshake", error=type(exc).__name__)
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(conn)
            self._silent.pop(conn, None)
            metering.meter.forget(conn.metered)
            conn.forget_statements()
            await self.control.remove(conn.connection_id)
            await self._close_session(session)
            writer.close()

    @staticmethod
    async def _close_session(session):
        try:
            await session.close()
        except DfwError:
            pass

    def stop_listening(self):
        """Stop accepting connections."""
        if self._server:
            self._server.close()

    def close_all(self):
        """Close all connections."""
        for conn in list(self.connections):
            conn.task.cancel()


def uncertain_error(code, message):
    """Return an error for a statement that may have run."""
    return DfwError(code, message, Verdict.MAY_HAVE_RUN)
