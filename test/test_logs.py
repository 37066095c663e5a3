"""Logs stay bounded and block nobody."""

import os
import time

from dragonflywing import logs


class TestEventLimit:
    def test_flood_is_bounded_and_counted(self):
        now = [100.0]
        limit = logs.EventLimit(lambda: now[0])
        allowed = sum(limit.allow("refused")[0] for _ in range(1000))
        assert allowed == logs.MAX_EVENT_LINES_PER_S
        assert limit.allow("primary")[0], "another kind is not held back"
        now[0] += 1
        allowed, left_out = limit.allow("primary")
        assert allowed and left_out == {"refused": 1000 - logs.MAX_EVENT_LINES_PER_S}


class TestBoundedStream:
    def test_blocked_pipe_blocks_nobody_and_is_said_later(self):
        reading, writing = os.pipe()
        with os.fdopen(writing, "w") as file:
            stream = logs.BoundedStream(file, size=100)
            started = time.monotonic()
            for number in range(20000):
                stream.write(f"event=refused number={number} {'x' * 100}\n")
            assert time.monotonic() - started < 1.0
            assert stream.dropped > 0
            data = b""
            end = time.monotonic() + 5
            while b"event=lines_dropped" not in data and time.monotonic() < end:
                data += os.read(reading, 65536)
        os.close(reading)
        assert b"event=lines_dropped count=" in data
