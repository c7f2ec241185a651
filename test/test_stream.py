import socket
import struct

import gevent
import testtools
from gevent import socket as gevent_socket

from toucanspring import errors, stream, wire


def tcp_pair():
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    left = gevent_socket.create_connection(listener.getsockname())
    right, _ = listener.accept()
    listener.close()
    return left, right


class StreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        left, right = tcp_pair()
        self.left = stream.Stream(left, wire.decode_worker)
        self.right = stream.Stream(right, wire.decode_worker)
        self.raw_left = left
        self.addCleanup(self.left.close)
        self.addCleanup(self.right.close)

    def test_connecting_to_an_ip_address_uses_no_resolver(self):
        # Guards against native threads and 1 MB of tables in each process.
        self.patch(gevent.get_hub(), "resolver", object())
        listener = gevent_socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        port = listener.getsockname()[1]
        stream.connect("127.0.0.1", port, wire.decode_worker).close()

    def test_both_ends_have_nagle_disabled(self):
        # Guards against delays of small frames by 40 ms.
        for end in (self.left, self.right):
            value = end._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(0, value)

    def test_messages_arrive_whole_and_in_order(self):
        self.left.send(wire.Renew(3, 20_000, 7))
        self.left.send(wire.Stop(3, ["a/0"], "kill"))
        self.assertEqual(wire.Renew(3, 20_000, 7), self.right.receive(1))
        self.assertEqual(wire.Stop(3, ["a/0"], "kill"), self.right.receive(1))

    def test_a_timeout_in_mid_frame_loses_nothing(self):
        # Guards against losing the frame boundary with a slow sender.
        frame = wire.encode(wire.Renew(4, 1, 7))
        self.raw_left.sendall(frame[:5])
        self.assertIsInstance(self.right.receive(0.02), errors.Timeout)
        self.raw_left.sendall(frame[5:])
        self.assertEqual(wire.Renew(4, 1, 7), self.right.receive(1))

    def test_an_oversized_frame_is_refused_before_it_is_read(self):
        # Guards against unbounded memory use for a malicious length.
        self.raw_left.sendall(struct.pack(">I", wire.MAX_FRAME_BYTES + 1))
        self.assertIsInstance(self.right.receive(1), errors.Oversized)
        self.assertTrue(self.right.closed)

    def test_garbage_becomes_malformed(self):
        self.raw_left.sendall(struct.pack(">I", 3) + b"\xc1\xc1\xc1")
        self.assertIsInstance(self.right.receive(1), errors.Malformed)

    def test_close_wakes_a_blocked_receiver(self):
        waiter = gevent.spawn(self.right.receive, None)
        gevent.sleep(0.01)
        self.left.close()
        self.assertIsInstance(waiter.get(timeout=1), errors.Closed)
