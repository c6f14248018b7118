"""A loopback TCP relay that injects faults into its connections."""
import asyncio

FAULT_MODES = ("delay", "silent", "to_server_lost", "to_client_lost", "reset")


class Relay:
    """Forwards connections; the mode is "pass" or one of FAULT_MODES."""

    def __init__(self, host, port):
        self.target = (host, port)
        self.mode = "pass"
        self.delay_s = 0.3
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.abort()

    def abort(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        self.abort()

    def _blocks(self, to_server):
        return self.mode == "silent" or self.mode == (
            "to_server_lost" if to_server else "to_client_lost")

    async def _pump(self, reader, writer, to_server):
        while True:
            data = await reader.read(65536)
            # As in TCP, a network failure delays data and does not drop it.
            while self._blocks(to_server):
                await asyncio.sleep(0.05)
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            if not data:
                return
            writer.write(data)
            await writer.drain()

    async def _serve(self, reader, writer):
        server_writer = None
        self.writers.add(writer)
        try:
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            if self.mode == "reset":
                return
            server_reader, server_writer = await asyncio.open_connection(
                *self.target)
            self.writers.add(server_writer)
            pumps = [
                asyncio.ensure_future(pump) for pump in (
                    self._pump(reader, server_writer, True),
                    self._pump(server_reader, writer, False))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            pass
        finally:
            for each_writer in (writer, server_writer):
                if each_writer is not None:
                    self.writers.discard(each_writer)
                    each_writer.transport.abort()
