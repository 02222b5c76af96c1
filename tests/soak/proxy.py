"""A loopback TCP proxy between two processes of a test that delays, blocks, partitions or resets connections."""

import random
import socket
import struct
import threading
import time

ZERO_LINGER = struct.pack("ii", 1, 0)  # for SO_LINGER: close() sends a reset


class Link:
    """One connection through a proxy."""

    def __init__(self, near, far):
        self.sockets = (near, far)
        self.delay_s = 0.0
        self.blocked = [False, False]  # bytes from the near socket, from the far socket
        for i in (0, 1):
            threading.Thread(target=self.pump, args=(i,), daemon=True).start()

    def pump(self, i):
        """Forwards the bytes of one direction. A blocked direction buffers them until it is unblocked."""
        source, sink = self.sockets[i], self.sockets[1 - i]
        try:
            while data := source.recv(65536):
                time.sleep(self.delay_s)
                while self.blocked[i]:
                    time.sleep(0.01)
                sink.sendall(data)
        except OSError:
            pass  # one socket was reset; close() below ends the other one
        self.close()

    def close(self, reset=False):
        for end in self.sockets:
            try:
                if reset:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed
            end.close()


class Proxy:
    """Listens on an address and forwards each connection to the target's address."""

    def __init__(self, listen, target, seed):
        self.target = target
        self.random = random.Random(seed)
        self.links = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(listen)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return  # closed
            try:
                far = socket.create_connection(self.target, timeout=2)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.links = [link for link in self.links if link.sockets[0].fileno() >= 0]
                self.links.append(Link(near, far))

    def random_links(self):
        """Returns each open connection with a probability of 0.5."""
        with self.lock:
            return [link for link in self.links if link.sockets[0].fileno() >= 0 and self.random.random() < 0.5]

    def fault(self, kind):
        """Starts a fault on a random half of the connections; returns the function that ends it."""
        links = self.random_links()
        for link in links:
            if kind == "reset":
                link.close(reset=True)
            elif kind == "delay":
                link.delay_s = self.random.uniform(0.005, 0.2)
            elif kind == "silent":
                link.blocked = [True, True]
            elif kind == "one way":
                link.blocked[self.random.randrange(2)] = True

        def end():
            for link in links:
                link.delay_s = 0.0
                link.blocked = [False, False]

        return end

    def close(self):
        self.listener.close()
        with self.lock:
            for link in self.links:
                link.close()
