"""HTTP/1.1 on loopback for the stand-ins: a small server and a client that keeps its connection open."""

import asyncio
import json


async def read_message(reader):
    """Reads one message; returns its start line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(handler):
    """Serves `handler(method, target, body) -> (status, value)` on a free port; returns the server and its address."""

    async def connection(reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                status, value = await handler(method, target, body)
                if status is None:
                    # No answer: the connection hangs until the caller gives up.
                    await reader.read(1)
                    break
                text = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0, limit=1 << 20)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


class Client:
    """A client of one address. A call that fails closes the connection."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
            self.streams = None

    async def call(self, method, target, body, timeout):
        """Returns status, headers and parsed body; raises on any failure."""
        try:
            return await asyncio.wait_for(self._call(method, target, body), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, target, body):
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
        reader, writer = self.streams
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        start, headers, answer = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(start.split(" ")[1]), headers, json.loads(answer) if answer else None
