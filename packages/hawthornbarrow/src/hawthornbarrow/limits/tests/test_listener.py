import errno
import unittest

import curio

from hawthornbarrow.limits import Listener


class ScriptedSocket:
    """Listening socket whose calls of accept end as scripted."""

    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)

    async def accept(self):
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, OSError):
            raise outcome
        return outcome, ("127.0.0.1", 1)


class ListenerTest(unittest.TestCase):
    def accept(self, *outcomes):
        listener = Listener(sock=ScriptedSocket(*outcomes), name="http")
        return curio.run(listener.accept)

    def test_accepting_goes_on_after_errors(self):
        """Guards against a process that ends when it has no descriptor left."""
        numbers = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED)
        errors = [OSError(number, "expected") for number in numbers]
        self.assertEqual("connection", self.accept(*errors, "connection"))

    def test_error_of_the_listening_socket_is_raised(self):
        with self.assertRaises(OSError):
            self.accept(OSError(errno.EBADF, "expected"), "connection")


if __name__ == "__main__":
    unittest.main()
