"""Tests that logs are limited in rate and never block the process."""

import os
import time

from dragonflywing import logs


class TestEventLimit:
    def test_limits_lines_and_counts_those_left_out(self):
        now = [100.0]
        limit = logs.EventLimit(lambda: now[0])
        allowed = sum(limit.allow("refused")[0] for _ in range(1000))
        assert allowed == logs.MAX_EVENT_LINES_PER_S
        assert limit.allow("primary")[0], "the limit of one event also limits another"
        now[0] += 1
        allowed, left_out = limit.allow("primary")
        assert allowed and left_out == {"refused": 1000 - logs.MAX_EVENT_LINES_PER_S}


class TestFormatEvent:
    def test_long_values_are_cut(self):
        # Ids of 1 MB, which callers choose, filled a queue of 5,000 lines.
        line = logs.format_event("refused", {"request": "x" * 1_000_000, "code": "ok"})
        assert len(line) < 1100
        assert line.endswith("... code=ok")


class TestBoundedStream:
    def test_full_pipe_never_blocks_and_drops_are_logged(self):
        read_fd, write_fd = os.pipe()
        with os.fdopen(write_fd, "w") as file:
            stream = logs.BoundedStream(file, size=100)
            started = time.monotonic()
            for number in range(20000):
                stream.write(f"event=refused number={number} {'x' * 100}\n")
            assert time.monotonic() - started < 1.0
            assert stream.dropped > 0
            data = b""
            end = time.monotonic() + 5
            while b"event=lines_dropped" not in data and time.monotonic() < end:
                data += os.read(read_fd, 65536)
        os.close(read_fd)
        assert b"event=lines_dropped count=" in data
