"""Reading of callers' requests from received bytes."""

import pytest

from limpethollow_node.engine.connection.requestreader import RequestReader
from limpethollow_node.engine.messages import Request
from limpethollow_policy.version.routes import CallerLimits
from limpethollow_wire.exceptions import HeadersTooLarge, TooLarge

LIMITS = CallerLimits(header_bytes=1000, body_bytes=50_000)
CHUNKED = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def read(*received: bytes, reader: RequestReader | None = None) -> list[Request]:
    """Return the requests in data that is received in parts."""
    reader = reader or RequestReader()
    found = []
    for data in received:
        position = 0
        while position < len(data):
            position += reader.read(data, position, LIMITS)
            found += [request for request, _ in reader.take()]
    return found


def body_of(size: int, length: int = 0) -> bytes:
    return b"POST /b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (length or size, b"x" * size)


class TestPieces:
    def test_requests_are_the_same_wherever_the_data_is_split(self):
        """Guards against requests that are lost, merged or cut where a segment ends."""
        data = CHUNKED + b"2;a=b\r\n\r\n\r\n1\r\nx\r\n0\r\nT: v\r\n\r\n" + body_of(9) + CHUNKED
        data += b"0\r\n\r\nGET /g HTTP/1.1\r\nA: b\r\n\r\n"
        whole = read(data)
        assert [(r.target, r.body) for r in whole] == [
            (b"/c", b"\r\nx"),
            (b"/b", b"x" * 9),
            (b"/c", b""),
            (b"/g", b""),
        ]
        for split in range(len(data)):
            assert read(data[:split], data[split:]) == whole

    def test_the_next_request_is_left_unparsed(self):
        """Guards against requests that are parsed long before their turn."""
        first, data = body_of(100), body_of(100) * 50
        reader = RequestReader()
        position = reader.read(data, 0, LIMITS)
        position += reader.read(data, position, LIMITS)
        assert position == len(first)
        assert len(reader.take()) == 1

    def test_invalid_data_does_not_drop_the_request_before_it(self):
        """Guards against a request that is lost since bytes behind it are no request."""
        reader = RequestReader()
        assert len(read(b"GET / HTTP/1.1\r\n\r", reader=reader)) == 0
        with pytest.raises(Exception, match="not a valid HTTP request"):
            reader.read(b"\n:\r\n\r\n", 0, LIMITS)
        assert len(reader.take()) == 1


class TestLimits:
    def test_a_head_behind_a_long_body_is_not_too_long(self):
        """Guards against a 431 for a request whose head came in one segment with another body."""
        head = b"GET / HTTP/1.1\r\nA: b"
        assert len(read(body_of(40_000) + head, b"\r\n\r\n")) == 2

    @pytest.mark.parametrize(
        "data",
        [
            b"GET /" + b"x" * 2000,
            b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 400,
            CHUNKED + b"0\r\n" + b"a:b\r\n" * 400,
            CHUNKED + b"0\r\na:" + b"b" * 2000,
            CHUNKED + b"1;" + b"x" * 2000,
        ],
        ids=["target", "headers", "trailers", "long trailer", "chunk extension"],
    )
    def test_one_that_never_ends_is_refused(self, data):
        """Guards against bytes that are read without end."""
        with pytest.raises(HeadersTooLarge):
            read(*(data[start : start + 100] for start in range(0, len(data), 100)))

    def test_a_chunked_body_over_the_limit_is_refused(self):
        with pytest.raises(TooLarge):
            read(CHUNKED + b"c351\r\n" + b"x" * 50_001)

    @pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"00000001\r\nx\r\n"])
    def test_a_body_may_come_in_chunks_of_one_byte(self, chunk):
        """Guards against a limit on framing that an ordinary client meets."""
        (request,) = read(CHUNKED + chunk * 50_000 + b"0\r\n\r\n")
        assert len(request.body) == 50_000


class TestTrailers:
    def test_they_are_not_headers(self):
        """Guards against a deadline or an id that is forwarded although it came after the body."""
        (request,) = read(CHUNKED + b"0\r\nX-Deadline: 1\r\n\r\n")
        assert request.headers == [(b"Transfer-Encoding", b"chunked")]


class TestMemory:
    def test_short_headers_cost_more_than_their_text(self):
        reader = RequestReader()
        read(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 200, reader=reader)
        assert reader.memory > 200 * 160

    def test_nothing_is_left_of_one_that_was_refused(self):
        reader = RequestReader()
        read(body_of(40_000, 50_000), reader=reader)
        assert reader.memory > 80_000
        reader.close()
        assert reader.memory == 0
