"""The standard output of a process, whose reader can stall or go away."""

import asyncio
import fcntl
import os

PIPE_BYTES = 4096


class LogPipe:
    """Copies what a process writes to `writer_end` into a file."""

    def __init__(self, file):
        self.file = file
        self.reader_end, self.writer_end = os.pipe()
        fcntl.fcntl(self.reader_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(self.reader_end, False)
        self.resume()

    def resume(self):
        if self.reader_end is not None:
            asyncio.get_running_loop().add_reader(self.reader_end, self.copy)

    def stall(self):
        if self.reader_end is not None:
            asyncio.get_running_loop().remove_reader(self.reader_end)

    def copy(self):
        """Copies what is there; returns whether there may be more."""
        try:
            data = os.read(self.reader_end, 65536)
        except BlockingIOError:
            return False
        self.file.write(data)
        return bool(data)

    def finish(self):
        """Is called when the process has ended."""
        while self.reader_end is not None and self.copy():
            pass
        self.close()

    def started(self):
        """Is called once the process holds its end."""
        os.close(self.writer_end)

    def close(self):
        """Closes the reader's end; the process may write on."""
        self.stall()
        if self.reader_end is not None:
            os.close(self.reader_end)
        self.reader_end = None
