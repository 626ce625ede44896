import unittest

import h11

from hawthornbarrow.http._request_reader import RequestReader

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"


class RequestReaderTest(unittest.TestCase):
    def read(self, data):
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(data)
        reader = RequestReader(
            connection=connection, header_bytes=16_384, body_bytes=1_000_000
        )
        while not reader.needs_data:
            self.assertIsNone(reader.read(100))
        return reader

    def test_little_is_received_of_a_body_in_small_chunks(self):
        """Guards against requests that wait for a crowd of tiny chunks."""
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(1024, self.read(head + b"1\r\nx\r\n" * 50).next_read_bytes)
        large = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        self.assertEqual(8192, self.read(head + large).next_read_bytes)

    def test_no_more_is_received_than_the_body_needs(self):
        """Guards against bytes behind a request, which nothing is charged for."""
        reader = self.read(HEAD + b"Content-Length: 100\r\n\r\n" + b"x" * 60)
        self.assertEqual(40, reader.next_read_bytes)

    def test_chunks_go_before_an_announced_size(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
        self.assertEqual(8192, self.read(head + b"3\r\nxyz\r\n").next_read_bytes)

    def test_fields_count_with_the_objects_that_they_take(self):
        reader = self.read(HEAD + b"a:b\r\n" * 1000 + b"Content-Length: 5\r\n\r\nxyz")
        self.assertGreater(reader.held_bytes, 200_000)


if __name__ == "__main__":
    unittest.main()
