"""Measures CPU and round-trip time of messages over pynng and over a curio stream.

The stream carries length-prefixed messages. Both ends run in this process, so the CPU
time covers sending and receiving.
"""

import socket
import sys
import time

import curio
import pynng
from curio.traps import _read_wait
from hawthornbarrow.links._stream import BlockStream

_MESSAGE_COUNT = 3000
_PAYLOAD_SIZES_BYTES = (200, 2_000, 20_000)


async def measure_stream(size: int) -> tuple[float, float]:
    """Returns CPU and round-trip time per message over a stream in microseconds."""
    payload = b"x" * size
    server = curio.network.tcp_server_socket("127.0.0.1", 0)
    port = server.getsockname()[1]

    async def echo() -> None:
        sock, _ = await server.accept()
        stream = BlockStream(sock=sock)
        while (block := await stream.receive()) is not None:
            await stream.send_all([block])

    task = await curio.spawn(echo)
    stream = BlockStream(sock=await curio.open_connection("127.0.0.1", port))
    cpu_s, wall_s = time.process_time(), time.perf_counter()
    for _ in range(_MESSAGE_COUNT):
        await stream.send_all([payload])
        await stream.receive()
    elapsed_s = (time.process_time() - cpu_s, time.perf_counter() - wall_s)
    await stream.close()
    await task.join()
    await server.close()
    return elapsed_s[0] / _MESSAGE_COUNT / 2 * 1e6, elapsed_s[1] / _MESSAGE_COUNT * 1e6


async def measure_nng(size: int) -> tuple[float, float]:
    """Returns CPU and round-trip time per message over pynng in microseconds."""
    payload = b"x" * size
    with pynng.Pair0(listen="tcp://127.0.0.1:0", send_buffer_size=16) as server:
        port = socket.ntohs(server.listeners[0].local_address.port)
        with pynng.Pair0(dial=f"tcp://127.0.0.1:{port}", send_buffer_size=16) as client:

            async def receive(sock: pynng.Pair0) -> bytes:
                while True:
                    try:
                        return sock.recv(block=False)
                    except pynng.TryAgain:
                        await _read_wait(sock.recv_fd)

            async def echo() -> None:
                for _ in range(_MESSAGE_COUNT):
                    server.send(await receive(server), block=False)

            task = await curio.spawn(echo)
            while not client.pipes:
                await curio.sleep(0.01)
            cpu_s, wall_s = time.process_time(), time.perf_counter()
            for _ in range(_MESSAGE_COUNT):
                client.send(payload, block=False)
                await receive(client)
            elapsed_s = (time.process_time() - cpu_s, time.perf_counter() - wall_s)
            await task.join()
    return elapsed_s[0] / _MESSAGE_COUNT / 2 * 1e6, elapsed_s[1] / _MESSAGE_COUNT * 1e6


def main() -> int:
    """Prints the figures of both transports for three message sizes."""
    print(f"{'bytes':>7}{'stream CPU us':>15}{'nng CPU us':>12}{'ratio':>7}", end="")
    print(f"{'stream trip us':>16}{'nng trip us':>13}")
    for size in _PAYLOAD_SIZES_BYTES:
        stream_cpu, stream_trip = curio.run(measure_stream, size)
        nng_cpu, nng_trip = curio.run(measure_nng, size)
        print(f"{size:>7}{stream_cpu:>15.0f}{nng_cpu:>12.0f}", end="")
        print(f"{nng_cpu / stream_cpu:>7.1f}{stream_trip:>16.0f}{nng_trip:>13.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
