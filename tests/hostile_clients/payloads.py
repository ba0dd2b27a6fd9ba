"""What the clients of a crowd send: functions that return the pieces of one connection's bytes, in order."""
import itertools

MEBIBYTE = 1 << 20
PIECE = 64 * 1024
# The limit of the users' pages on the body of one request.
BODY_LIMIT = 4 * MEBIBYTE
# What a client without an end sends on one connection.
ENDLESS = 8 * MEBIBYTE
# How far from its end a body stops.
SHORT_OF_END = 100

GET = b"GET /label/x HTTP/1.1\r\nHost: h.example\r\n"
# All have one attempt's name: the engine answers them without recording that it has run them.
POST = (b"POST /label/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: hostile\r\nX-Time-Left-Ms: 4000\r\n"
        b"X-Answer-Bytes: 5\r\n")
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def endless(first, piece):
    yield first
    for _ in range(ENDLESS // len(piece)):
        yield piece


def endless_header():
    return endless(GET + b"A: ", b"x" * PIECE)


def endless_headers():
    return endless(GET, b"A: x\r\n" * 8192)


def endless_target():
    return endless(b"GET /", b"x" * PIECE)


def empty_lines():
    return endless(b"\r\n", b"\r\n" * (PIECE // 2))


def unfinished_heads():
    """A head just under the limit that never ends."""
    yield GET + b"".join(b"A%d: x\r\n" % number for number in range(1500))


def unfinished_chunks():
    yield CHUNKED
    for _ in range(BODY_LIMIT // PIECE - 1):
        yield b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
    yield b"%x\r\n" % PIECE + b"x" * (PIECE - SHORT_OF_END)


def one_unfinished_chunk():
    yield CHUNKED + b"%x\r\n" % BODY_LIMIT
    for _ in range(BODY_LIMIT // PIECE - 1):
        yield b"x" * PIECE


def tiny_chunks():
    yield CHUNKED
    for _ in range(320):
        yield b"1\r\nx\r\n" * 1024


def tiny_segments():
    """Each segment ends with the content of a chunk of one byte."""
    yield CHUNKED + b"1\r\nx"
    for _ in range(6000):
        yield b"\r\n1\r\nx"


def unfinished_body():
    yield POST + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT
    for _ in range(BODY_LIMIT // PIECE - 1):
        yield b"x" * PIECE
    yield b"x" * (PIECE - SHORT_OF_END)


def complete_bodies():
    yield POST + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT
    for _ in range(BODY_LIMIT // PIECE):
        yield b"x" * PIECE


def announced_body():
    return endless(POST + b"Content-Length: 1099511627776\r\n\r\n", b"x" * PIECE)


def endless_chunks():
    return endless(CHUNKED, b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n")


def endless_chunk_size():
    return endless(CHUNKED + b"5;a=", b"x" * PIECE)


def endless_trailers():
    return endless(CHUNKED + b"0\r\n", b"A: x\r\n" * 8192)


def pipelined_requests():
    return endless(b"", (POST + b"Content-Length: 5\r\n\r\nhello") * 200)


def requests_without_reading():
    return endless(b"", (b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n") * 200)


def pages_without_reading():
    return endless(b"", (b"GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n") * 200)


def unfinished_frames():
    """A message between nodes of nearly the largest size, short of its end."""
    length = 16 * MEBIBYTE
    yield length.to_bytes(4, "big") + b"\0" * 9
    for _ in range(length // PIECE - 1):
        yield b"x" * PIECE


def operators_request(body):
    """Sent as one piece, so that the body is complete even if the server reads no more."""
    yield (b"POST /-/config/replace HTTP/1.1\r\nHost: h\r\nX-Base-Version: 1\r\nContent-Type: application/json\r\n"
           b"Content-Length: %d\r\n\r\n%s" % (len(body), body))


def empty_objects():
    """A document that takes many times its length when it is parsed."""
    return operators_request(b"[" + b"{}," * (BODY_LIMIT // 3 - 1) + b"1]")


def nested_arrays():
    return operators_request(b"[" * (BODY_LIMIT // 2) + b"]" * (BODY_LIMIT // 2))


_kinds = itertools.cycle((unfinished_chunks, tiny_chunks, unfinished_body, complete_bodies, endless_chunk_size, pipelined_requests,
                          requests_without_reading, unfinished_heads, endless_chunks))


def of_all_kinds():
    """Each client is of the next kind."""
    return next(_kinds)()


def nothing():
    return iter(())
