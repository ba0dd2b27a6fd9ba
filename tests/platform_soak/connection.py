"""A keep-alive HTTP/1.1 connection over asyncio that also reports responses that ended early. It doesn't reconnect, retry or
send requests in parallel."""
import asyncio


async def read_head(reader):
    """The first line and the headers of a request or a response, with names in lower case; None if the connection ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_body(reader, headers):
    """The body by its Content-Length or in chunks; None: it ended early or is malformed."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


class Response:
    """What was received for one request. `status` is None if no head arrived; `body` is None if it ended early."""

    def __init__(self, status=None, headers=None, body=None):
        self.status, self.headers, self.body = status, headers or {}, body

    @property
    def complete(self):
        return self.status is not None and self.body is not None


class Connection:
    """One connection, with one request at a time."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address, timeout=2.0):
        host, port = address.split(":")
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout))

    async def exchange(self, method, path, headers, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % item for item in headers.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        except OSError:
            return Response()
        head = await read_head(self._reader)
        if not head:
            return Response()
        return Response(int(head[0].split()[1]), head[1], await read_body(self._reader, head[1]))

    def close(self):
        self._writer.close()


async def request(address, method, path, headers=None, body=b"", timeout=1.5):
    """Sends one request on a new connection. After a failure or `timeout` seconds the response has no status."""
    connection = None
    try:
        connection = await Connection.open(address, timeout)
        exchange = connection.exchange(method, path, {"Host": address, **(headers or {})}, body)
        return await asyncio.wait_for(exchange, timeout)
    except (OSError, asyncio.TimeoutError):
        return Response()
    finally:
        if connection:
            connection.close()
