"""Bad clients: each sends the head of a message with a body of 64 KiB, then the body in small writes at full speed, and
stops one write before its end. They read what they are sent, and come again at once.

    bad_clients.py PORT CLIENTS WRITE_BYTES ROUNDS
"""

import socket
import sys
import time

BODY_BYTES = 64 * 1024
# The forwarder gives up a body after 0.7 s; the clients are owed an error or a close within 3 s.
ROUND_S = 0.65
WAIT_S = 3.0


def play_round(number, port, clients, write_bytes):
    connections = []
    for client in range(clients):
        connection = socket.create_connection(("127.0.0.1", port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connections.append(connection)
    begun_at = time.monotonic()
    for client, connection in enumerate(connections):
        connection.sendall(
            f"POST /ride-record HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: bad-{number}-{client}\r\nRequest-Class: ride-record\r\n"
            f"Request-Timeout-Ms: 12000\r\nIdempotency-Key: bad-{number}-{client}\r\nContent-Length: {BODY_BYTES}\r\n"
            "Envelope: dest=1\r\n\r\n".encode()
        )
    piece = b"y" * write_bytes
    sent = 0
    while sent + write_bytes < BODY_BYTES and time.monotonic() - begun_at < ROUND_S:
        for connection in connections:
            connection.send(piece)
        sent += write_bytes
    print(f"round {number}: {clients} clients sent a head and {sent} of {BODY_BYTES} body bytes each in writes of {write_bytes}, {time.monotonic() - begun_at:.2f} s", flush=True)
    answered, closed, left = 0, 0, 0
    for connection in connections:
        connection.settimeout(max(0.01, begun_at + WAIT_S - time.monotonic()))
        try:
            data = connection.recv(4096)
            answered += data.startswith(b"HTTP/1.1 4") or data.startswith(b"HTTP/1.1 5")
            closed += data == b""
        except TimeoutError:
            left += 1
        except OSError:
            closed += 1
        connection.close()
    print(f"round {number}: {answered} were answered an error, {closed} were closed, {left} were left with neither", flush=True)


port, clients, write_bytes, rounds = (int(argument) for argument in sys.argv[1:])
for number in range(rounds):
    try:
        play_round(number, port, clients, write_bytes)
    except OSError as error:
        print(f"round {number}: ended by {error}", flush=True)
        break
