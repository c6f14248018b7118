#!/usr/bin/env python3
"""Load clients, a TCP relay and store access for the process tests."""
import argparse
import base64
import collections
import concurrent.futures
import hashlib
import http.client
import json
import os
import select
import signal
import socket
import sys
import time
import urllib.request

KEY_PREFIX = "tanagertrestle/"
MASK_64 = (1 << 64) - 1


def engine_words(prompt, count):
    """Yields the words that tests/fakes/engine.c generates for a prompt."""
    x = 0xCBF29CE484222325
    for byte in prompt.encode():
        x = ((x ^ byte) * 0x100000001B3) & MASK_64
    for _ in range(count):
        x = (x * 6364136223846793005 + 1442695040888963407) & MASK_64
        yield "%08x " % (x & 0xFFFFFFFF)


def usage_json(prompt, count):
    size = len(prompt.encode()) // 4 + 1
    return '{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}' % (
        size, count, size + count)


def expected_body(prompt, count, stream):
    if stream:
        parts = ['data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n'
                 % word for word in engine_words(prompt, count)]
        parts.append('data: {"choices":[],"usage":%s}\n\n'
                     % usage_json(prompt, count))
        parts.append("data: [DONE]\n\n")
        return "".join(parts).encode()
    return ('{"choices":[{"index":0,"message":{"role":"assistant","content":"'
            '%s"},"finish_reason":"length"}],"usage":%s}'
            % ("".join(engine_words(prompt, count)),
               usage_json(prompt, count))).encode()


def post(url, path, api_key, key, body, timeout):
    """Returns status, headers and body; status 0 if the connection failed."""
    host = url.split("//")[1]
    connection = http.client.HTTPConnection(host, timeout=timeout)
    headers = {"Authorization": "Bearer " + api_key, "Idempotency-Key": key}
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def classify(status, headers, body, expected):
    if status == 200:
        if body == expected:
            return "complete"
        if b"event: error" in body:
            return "cut"
        return "wrong"
    if status == 0:
        return "cut"
    try:
        error = json.loads(body)["error"]
        return "%d %s %s" % (status, error["type"], error["run_state"])
    except (ValueError, KeyError):
        return "%d unreadable" % status


def chat_body(args, i):
    prompt = "%s-%d" % (args.prompt or args.prefix, i)
    body = {"model": args.model, "max_tokens": args.tokens,
            "messages": [{"role": "user", "content": prompt}]}
    if args.stream:
        body["stream"] = True
    return prompt, json.dumps(body)


def send_request(args, urls, i, deadline):
    """Sends request i until it is complete; returns the last result."""
    key = "%s-%d" % (args.prefix, i)
    result = "not sent"
    for attempt in range(args.tries):
        if attempt > 0:
            time.sleep(args.pause)
        if time.monotonic() > deadline:
            break
        url = urls[(attempt if args.in_order else i + attempt) % len(urls)]
        if args.path:
            body = "%s-%d" % (args.prompt or args.prefix, i)
            expected = ("POST %s\n%s" % (args.path, body)).encode()
        else:
            prompt, body = chat_body(args, i)
            expected = expected_body(prompt, args.tokens, args.stream)
        result = classify(*post(url, args.path or "/v1/chat/completions",
                                args.api_key, key, body, args.timeout),
                          expected)
        if result in ("complete", "wrong"):
            break
    return result


def run_load(args):
    """Sends requests and prints the number of each result."""
    urls = args.urls.split(",")
    deadline = time.monotonic() + args.seconds
    with concurrent.futures.ThreadPoolExecutor(args.parallel) as pool:
        results = list(pool.map(
            lambda i: send_request(args, urls, i, deadline),
            range(args.count)))
    if args.each:
        print(json.dumps(results))
    else:
        print(json.dumps(collections.Counter(results)))


def run_sum(args):
    """Prints the SHA-256 of a text, which keys the run counts of a fake."""
    print(hashlib.sha256(args.text.encode()).hexdigest())


def read_records(store):
    with urllib.request.urlopen(store + "/test/dump", timeout=5) as response:
        kvs = json.load(response)["kvs"]
    records = {}
    for kv in kvs:
        key = base64.b64decode(kv["key"]).decode()
        records[key[len(KEY_PREFIX):]] = json.loads(
            base64.b64decode(kv["value"]))
    return records


def run_dump(args):
    """Evaluates an expression on the records d and the bills b of the store.

    b maps ACCOUNT/KEY to tokens; under(PREFIX) returns the records whose keys
    have the prefix.
    """
    d = read_records(args.store)
    bills = [(k[5:].rsplit("/", 1)[0], v["tokens"]) for k, v in d.items()
             if k.startswith("bill/")]
    # No test sends two requests with one key and different fingerprints, so
    # two bills of one key are an error.
    if len(dict(bills)) != len(bills):
        sys.exit("two bills with the same key")
    scope = {
        "d": d,
        "b": dict(bills),
        "under": lambda p: {k: v for k, v in d.items() if k.startswith(p)},
    }
    print(eval(args.expression, scope))  # pylint: disable=eval-used


def run_put(args):
    """Writes one record into the store."""
    encode = lambda text: base64.b64encode(text.encode()).decode()
    body = {"success": [{"request_put": {
        "key": encode(KEY_PREFIX + args.key), "value": encode(args.record)}}]}
    urllib.request.urlopen(args.store + "/v3/kv/txn",
                           json.dumps(body).encode(), timeout=5).close()


class Relay:
    """Forwards TCP connections to a local port.

    SIGUSR1 closes all connections and refuses new ones until SIGUSR2.  With a
    path, SIGUSR1 affects only requests that contain the path: "request" drops
    the request, "answer" forwards the request and drops its response, "hold"
    delays the request until SIGUSR2.
    """

    def __init__(self, target, path, cut_mode):
        self.target = target
        self.path = path.encode()
        self.cut_mode = cut_mode
        self.held = []
        self.muted = set()
        self.cut = False
        self.peers = {}
        self.listener = socket.create_server(("127.0.0.1", 0))
        signal.signal(signal.SIGUSR1, lambda *_: setattr(self, "cut", True))
        signal.signal(signal.SIGUSR2, lambda *_: setattr(self, "cut", False))

    def close_pair(self, conn):
        peer = self.peers.pop(conn, None)
        self.muted -= {conn, peer}
        if peer is not None:
            self.peers.pop(peer, None)
            peer.close()
        conn.close()

    def accept(self):
        conn, _ = self.listener.accept()
        if self.cut and not self.path:
            conn.close()
            return
        try:
            peer = socket.create_connection(("127.0.0.1", self.target), 2)
        except OSError:
            conn.close()
            return
        self.peers[conn] = peer
        self.peers[peer] = conn

    def forward(self, conn):
        try:
            data = conn.recv(65536)
            matches = self.cut and self.path and self.path in data
            if matches and self.cut_mode == "hold":
                self.held.append((conn, data))
                print("held", flush=True)
                return
            if matches and self.cut_mode == "answer":
                self.muted.add(self.peers[conn])
            if data and conn not in self.muted and not (
                    matches and self.cut_mode == "request"):
                self.peers[conn].sendall(data)
                return
        except OSError:
            pass
        self.close_pair(conn)

    def release(self):
        for conn, data in self.held:
            if conn in self.peers:
                self.peers[conn].sendall(data)
        self.held = []

    def run(self, deadline):
        print("listening %d" % self.listener.getsockname()[1], flush=True)
        while time.monotonic() < deadline:
            if self.cut and not self.path:
                for conn in list(self.peers):
                    self.close_pair(conn)
            if not self.cut:
                self.release()
            ready, _, _ = select.select([self.listener, *self.peers], [], [],
                                        0.05)
            for conn in ready:
                if conn is self.listener:
                    self.accept()
                elif conn in self.peers:
                    self.forward(conn)


def run_relay(args):
    Relay(args.target, args.path, args.way).run(
        time.monotonic() + args.seconds)


def run_slow(args):
    """Reads the start of a stream, pauses, and resumes on SIGUSR1.

    Prints "stopped" at the pause and the result at the end of the stream.
    """
    resume = []
    signal.signal(signal.SIGUSR1, lambda *_: resume.append(1))
    prompt, body = chat_body(args, 0)
    host, port = args.urls.split("//")[1].split(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.settimeout(args.timeout)
        sock.connect((host, int(port)))
        sock.sendall(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                     "Authorization: Bearer %s\r\nIdempotency-Key: %s-0\r\n"
                     "Content-Length: %d\r\n\r\n%s"
                     % (args.api_key, args.prefix, len(body), body)).encode())
        response = http.client.HTTPResponse(sock)
        response.begin()
        received = hashlib.sha256(response.read(65536))
        print("stopped", flush=True)
        deadline = time.monotonic() + args.seconds
        while not resume and time.monotonic() < deadline:
            time.sleep(0.05)
        while data := response.read(65536):
            received.update(data)
    expected = hashlib.sha256(expected_body(prompt, args.tokens, True))
    print("complete" if received.digest() == expected.digest() else "wrong")


def run_raw(args):
    """Sends bytes from stdin to a port and prints the response."""
    data = sys.stdin.buffer.read()
    with socket.create_connection(("127.0.0.1", args.port), 5) as sock:
        sock.settimeout(args.timeout)
        received = b""
        try:
            sock.sendall(data)
            while part := sock.recv(65536):
                received += part
        except OSError:
            pass
    os.write(1, received[:4096])


def run_hold(args):
    """Opens connections that send part of a message and stay open."""
    connections = []
    for i in range(args.count):
        connection = socket.create_connection(("127.0.0.1", args.port), 5)
        connection.sendall(args.text.encode()[:i % (len(args.text) + 1)])
        connections.append(connection)
    print("holding", flush=True)
    time.sleep(args.seconds)


def parse_args():
    parser = argparse.ArgumentParser()
    commands = parser.add_subparsers(required=True)

    def add_command(name, run, *positional):
        command = commands.add_parser(name)
        command.set_defaults(run=run)
        for argument in positional:
            command.add_argument(argument)
        return command

    for name, run in (("load", run_load), ("slow", run_slow)):
        load = add_command(name, run, "urls", "api_key", "prefix")
        load.add_argument("--count", type=int, default=1)
        load.add_argument("--parallel", type=int, default=32)
        load.add_argument("--tokens", type=int, default=8)
        load.add_argument("--model", default="assistant")
        load.add_argument("--path", help="of a plain service")
        load.add_argument("--prompt", help="same for other keys")
        load.add_argument("--stream", action="store_true")
        load.add_argument("--in-order", action="store_true",
                          help="each request goes to the first URL first")
        load.add_argument("--each", action="store_true")
        load.add_argument("--tries", type=int, default=1)
        load.add_argument("--pause", type=float, default=0.3)
        load.add_argument("--timeout", type=float, default=20)
        load.add_argument("--seconds", type=float, default=40)
    add_command("sum", run_sum, "text")
    add_command("dump", run_dump, "store", "expression")
    relay = add_command("relay", run_relay)
    relay.add_argument("target", type=int)
    relay.add_argument("--seconds", type=float, default=80)
    relay.add_argument("--path", default="", help="cut only requests to it")
    relay.add_argument("--way", default="request",
                       choices=("request", "answer", "hold"))
    add_command("put", run_put, "store", "key", "record")
    raw = add_command("raw", run_raw)
    raw.add_argument("port", type=int)
    raw.add_argument("--timeout", type=float, default=3)
    hold = add_command("hold", run_hold)
    hold.add_argument("port", type=int)
    hold.add_argument("text")
    hold.add_argument("--count", type=int, default=20)
    hold.add_argument("--seconds", type=float, default=30)
    return parser.parse_args()


if __name__ == "__main__":
    ARGS = parse_args()
    ARGS.run(ARGS)
