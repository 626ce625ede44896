"""CPU and delay of one message: pynng against a length-prefixed curio stream.

Both ends run in this process, so the CPU is that of sending and receiving together.
"""

import socket
import sys
import time

import curio
import pynng
from curio.traps import _read_wait
from hawthornbarrow.links._stream import BlockStream

_MESSAGES = 3000
_SIZES = (200, 2_000, 20_000)


async def over_stream(size: int) -> tuple[float, float]:
    """Returns CPU and round-trip time of a message in microseconds."""
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
    for _ in range(_MESSAGES):
        await stream.send_all([payload])
        await stream.receive()
    used = (time.process_time() - cpu_s, time.perf_counter() - wall_s)
    await stream.close()
    await task.join()
    await server.close()
    return used[0] / _MESSAGES / 2 * 1e6, used[1] / _MESSAGES * 1e6


async def over_nng(size: int) -> tuple[float, float]:
    """Returns CPU and round-trip time of a message in microseconds."""
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
                for _ in range(_MESSAGES):
                    server.send(await receive(server), block=False)

            task = await curio.spawn(echo)
            while not client.pipes:
                await curio.sleep(0.01)
            cpu_s, wall_s = time.process_time(), time.perf_counter()
            for _ in range(_MESSAGES):
                client.send(payload, block=False)
                await receive(client)
            used = (time.process_time() - cpu_s, time.perf_counter() - wall_s)
            await task.join()
    return used[0] / _MESSAGES / 2 * 1e6, used[1] / _MESSAGES * 1e6


def main() -> int:
    """Prints both, side by side, for three sizes."""
    print(f"{'bytes':>7}{'stream CPU us':>15}{'nng CPU us':>12}{'ratio':>7}", end="")
    print(f"{'stream trip us':>16}{'nng trip us':>13}")
    for size in _SIZES:
        stream_cpu, stream_trip = curio.run(over_stream, size)
        nng_cpu, nng_trip = curio.run(over_nng, size)
        print(f"{size:>7}{stream_cpu:>15.0f}{nng_cpu:>12.0f}", end="")
        print(f"{nng_cpu / stream_cpu:>7.1f}{stream_trip:>16.0f}{nng_trip:>13.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
