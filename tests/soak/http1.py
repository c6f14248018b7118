"""HTTP/1.1 messages over asyncio streams, for the clients and fakes."""
import asyncio

HEAD_MAX = 65536  # bytes


class ConnectionLost(Exception):
    """The connection ended or the received data is not a valid message."""


async def read_head(reader):
    """Returns the start line and the fields, with names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            OSError) as error:
        raise ConnectionLost() from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise ConnectionLost() from error


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    try:
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise ConnectionLost() from error


def head(start_line, fields):
    lines = [start_line] + ["%s: %s" % pair for pair in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def message(start_line, fields, body=b""):
    return head(start_line, list(fields) +
                [("Content-Length", "%d" % len(body))]) + body


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"
