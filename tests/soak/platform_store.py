"""Fake of the platform's store, which follows its published protocol."""
import asyncio
import base64
import json
import random
import urllib.parse

import http1

PAGE_ITEMS = 500  # maximum in one response


class Store:
    """A linearizable key-value store with a history of changes."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.items = {}  # key -> (value, revision, created)
        self.history = []  # (revision, key, value or None)
        self.oldest_revision = 1
        self.revision = 1
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.mode = "serve"  # or "refuse", "reset", "silent"
        self.delay_s = 0.0
        self.lost_write_ratio = 0.0  # of writes, applied without a response
        self.delayed_write_ratio = 0.0  # of lost writes, applied later
        self.requests = 0
        self.era = 1  # increases with each restore
        self.copies = []  # (time, revision, items)

    def make_copy(self, at):
        self.copies.append((at, self.revision, dict(self.items)))

    def restore(self, at):
        """Returns to the newest copy that is no newer than this time.

        Revisions are given out again, and writes that are delayed may still
        take effect.
        """
        older = [copy for copy in self.copies if copy[0] <= at]
        _, self.revision, items = (older or self.copies)[-1]
        self.items = dict(items)
        self.era += 1
        self.compact()
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def write(self, key, value):
        """Writes a key, or removes it if value is None; returns a revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, (0, 0, self.revision))[2]
            self.items[key] = (value, self.revision, created)
        self.history.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def compact(self):
        """Drops the history, so that a watch of older revisions gets 410."""
        self.history.clear()
        self.oldest_revision = self.revision + 1

    def _item(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": 0}

    def _get(self, query):
        key = query.get("key", "")
        if key not in self.items:
            return 404, {}
        return 200, dict(self._item(key), at=self.revision)

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("path_prefix", "")) and
                      k > query.get("after", ""))
        return 200, {"items": [self._item(k) for k in keys[:PAGE_ITEMS]],
                     "has_more": len(keys) > PAGE_ITEMS, "at": self.revision}

    def _events(self, prefix, after):
        newest = {}
        for revision, key, value in self.history:
            if revision > after and key.startswith(prefix):
                newest[key] = (revision, value)
        for key, (revision, value) in sorted(newest.items(),
                                             key=lambda e: e[1][0]):
            if value is None:
                yield {"key": key, "revision": revision, "deleted": True}
            else:
                yield {"key": key, "revision": revision,
                       "value": base64.b64encode(value).decode(),
                       "created": revision, "lease": 0}

    async def _watch(self, query):
        prefix = query.get("path_prefix", "")
        after = int(query.get("after", 0))
        deadline = asyncio.get_running_loop().time() + \
            int(query.get("wait_ms", 0)) / 1000
        while True:
            if after + 1 < self.oldest_revision or after > self.revision:
                return 410, {}
            events = list(self._events(prefix, after))
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def _commit(self, call):
        for condition in call.get("expect", []):
            found = self.items.get(condition["key"], (None, 0, 0))[1]
            if found != condition["revision"]:
                return 412, {"items": [
                    self._item(r["key"]) for r in call["expect"]
                    if r["key"] in self.items]}
        for put in call.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]))
        for key in call.get("remove", []):
            self.write(key, None)
        return 200, {"revision": self.revision}

    async def _txn(self, call):
        """Applies a write; returns None if there is to be no response."""
        if self.random.random() >= self.lost_write_ratio:
            return self._commit(call)
        if self.random.random() < self.delayed_write_ratio:
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.5, 3), self._commit, call)
        else:
            self._commit(call)
        return None

    async def _respond(self, request_line, body):
        method, target, _ = request_line.split(" ", 2)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        self.requests += 1
        await asyncio.sleep(self.delay_s)
        if self.mode == "refuse":
            return 503, {}
        if (method, path) == ("GET", "/api/kv-key"):
            return self._get(query)
        if (method, path) == ("GET", "/api/kv-range"):
            return self._range(query)
        if (method, path) == ("GET", "/api/kv-watch"):
            return await self._watch(query)
        if (method, path) == ("POST", "/api/kv-txn"):
            return await self._txn(json.loads(body))
        return 404, {}

    async def _serve(self, reader, writer):
        try:
            while True:
                request_line, fields = await http1.read_head(reader)
                body = await http1.read_body(reader, fields)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "reset":
                    break
                response = await self._respond(request_line, body)
                if response is None:
                    break
                writer.write(http1.message(
                    "HTTP/1.1 %d x" % response[0],
                    [("Content-Type", "application/json"),
                     ("Store-Era", str(self.era))],
                    json.dumps(response[1]).encode()))
                await writer.drain()
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            writer.transport.abort()
