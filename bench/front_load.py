"""Load for bench/front_server: front_load.py PORT MODE COUNT CONNECTIONS

MODE is "chat" (small model requests on kept connections), "connect" (one
request per connection) or "hold" (open streams, then wait 2 s).  Prints
requests per second and latency quantiles of this process.
"""
import socket
import sys
import time

BODY = (b'{"model":"m1","max_tokens":16,"messages":'
        b'[{"role":"user","content":"What time does the ferry leave?"}]}')


def request(path):
    return (b"POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer abc\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
            % (path, len(BODY), BODY))


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port), 10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def main():
    port, mode, count = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
    conns = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    chat, hold = request(b"/v1/chat/completions"), request(b"/hold")
    times = []
    begin = time.monotonic()
    if mode == "hold":
        socks = [connect(port) for _ in range(count)]
        for sock in socks:
            sock.sendall(hold)
        for sock in socks:
            sock.recv(4096)
        time.sleep(2)
        return
    socks = [] if mode == "connect" else [connect(port) for _ in range(conns)]
    for _ in range(count // conns):
        batch = socks or [connect(port)]
        start = time.monotonic()
        for sock in batch:
            sock.sendall(chat)
        for sock in batch:
            while b"answer\n" not in sock.recv(4096):
                pass
            times.append(time.monotonic() - start)
        if mode == "connect":
            batch[0].close()
    times.sort()
    print("%s requests_per_s %.0f p50_ms %.3f p99_ms %.3f" % (
        mode, len(times) / (time.monotonic() - begin),
        times[len(times) // 2] * 1e3, times[len(times) * 99 // 100] * 1e3))


main()
