#!/usr/bin/env python3
"""Crowds of misbehaving clients with a valid key against one router.

router_crowd.py FORM URL KEY PID [ADMIN_PORT] lets a crowd misbehave at a router that runs
with its default limits, bounds the sum of what the router and the operating
system hold for it, and sends an ordinary request before and afterwards.
"""
import asyncio
import json
import os
import sys

import crowd
import http1
import sockets

# The machine's memory.  Without other settings a router has to fit into it.
MEMORY_MIB = 160
MODEL_TOKENS = 5000  # of an answer that outlives the crowd


def head(key, fields):
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
            "Authorization: Bearer %s\r\nContent-Type: application/json\r\n"
            "%s\r\n" % (key, fields)).encode()


def body(content, tokens):
    return json.dumps({
        "model": "assistant", "stream": True, "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}]}).encode()


class Router:
    """A router that the script around this program has started."""

    def __init__(self, url, key, pid, admin):
        self.ports = {"callers": int(url.rsplit(":", 1)[1])}
        if admin is not None:
            self.ports["admin"] = int(admin)
        self.key = key
        self.pid = pid

    def check_alive(self, when):
        try:
            os.kill(self.pid, 0)
        except ProcessLookupError as error:
            raise crowd.Failed("the router ended %s" % when) from error

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.pid))

    async def _send_calm(self):
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       self.ports["callers"])
        try:
            data = body("hello", 5)
            writer.write(head(self.key, "Content-Length: %d\r\n" % len(data)) +
                         data)
            line, _ = await http1.read_head(reader)
            return line.split(" ")[1]
        finally:
            writer.transport.abort()

    async def expect_calm(self, when):
        """Sends an ordinary request until it gets 200."""
        await crowd.retry_calm(self, self._send_calm, when)


CHUNKED = "Transfer-Encoding: chunked\r\n"
ONE_BYTE = b"1\r\n \r\n" * 8000


def chunked(key, part, count, parts):
    for _ in range(count):
        yield [head(key, CHUNKED)] + [part] * parts


class Sequence(sockets.Stepped):
    """Clients whose bodies arrive one after the other."""

    step_s = 0.02


def complete(key, count, size=3900000):
    data = body("x" * size, MODEL_TOKENS)
    for _ in range(count):
        yield [head(key, "Content-Length: %d\r\n" % len(data)), data]


def short_values(key, count):
    data = json.dumps({"model": "assistant", "max_tokens": 5,
                       "prompt": [1] * 1900000},
                      separators=(",", ":")).encode()
    for _ in range(count):
        yield [head(key, "Content-Length: %d\r\n" % len(data)).replace(
            b"/chat/", b"/"), data]


def readiness(count, parts):
    for _ in range(count):
        yield [b"POST /readyz HTTP/1.1\r\nHost: router\r\n" +
               CHUNKED.encode() + b"\r\n"] + [sockets.CHUNK] * parts


# form: (when the router is paused, members for a key)
FORMS = {
    "bodies": (sockets.NEVER,
               lambda key: chunked(key, sockets.CHUNK, 64, 60)),
    "one_byte_chunks": (sockets.NEVER,
                        lambda key: chunked(key, ONE_BYTE, 64, 400)),
    "extensions": (sockets.NEVER,
                   lambda key: chunked(key, sockets.EXTENSION, 400, 400)),
    "complete": (sockets.NEVER, lambda key: complete(key, 64)),
    # The largest prompts that a router runs have some 1,000,000 bytes.
    "running": (sockets.NEVER, lambda key: complete(key, 200, 1000000)),
    "short_values": (sockets.NEVER, lambda key: short_values(key, 16)),
    "admin": (sockets.NEVER, lambda key: readiness(64, 60)),
    "paused": (sockets.DURING,
               lambda key: chunked(key, sockets.CHUNK, 400, 60)),
    "waiting": (sockets.FIRST,
                lambda key: chunked(key, sockets.CHUNK, 1024, 60)),
}


async def play(form, router):
    when, members = FORMS[form]
    await router.expect_calm("before the crowd")
    usage = sockets.Usage(router.pid, router.ports.values())
    kind = Sequence if form == "running" else sockets.Crowd
    listener = "admin" if form == "admin" else "callers"
    await sockets.run_crowd(kind(router, (listener,)), members(router.key),
                            usage, when)
    await router.expect_calm("after the crowd")
    usage.check(form, MEMORY_MIB)


def main(form, url, key, pid, admin=None):
    sockets.allow_clients()
    try:
        asyncio.run(play(form, Router(url, key, int(pid), admin)))
    except crowd.Failed as error:
        print("FAILED: %s: %s" % (form, error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
