"""A client's kept connection in asyncio: heads and bodies of HTTP/1.1, whole or ended early."""
import asyncio


async def read_head(reader):
    """The first line and the headers of a request or an answer; None at the end of the connection."""
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
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_body(reader, headers):
    """The body by its length or in chunks; None: it ended early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


class Answer:
    """What came of one request; `status` None: no head came. `body` None: it has no end."""

    def __init__(self, status=None, headers=None, body=None):
        self.status, self.headers, self.body = status, headers or {}, body

    @property
    def complete(self):
        return self.status is not None and self.body is not None


class Connection:
    """One request after the other."""

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
            return Answer()
        head = await read_head(self._reader)
        if not head:
            return Answer()
        return Answer(int(head[0].split()[1]), head[1], await read_body(self._reader, head[1]))

    def close(self):
        self._writer.close()


async def ask(address, method, path, headers=None, body=b"", timeout=1.5):
    """One call on a connection of its own."""
    connection = None
    try:
        connection = await Connection.open(address, timeout)
        call = connection.exchange(method, path, {"Host": address, **(headers or {})}, body)
        return await asyncio.wait_for(call, timeout)
    except (OSError, asyncio.TimeoutError):
        return Answer()
    finally:
        if connection:
            connection.close()
