"""Processes of a test site, which are signalled by their process ids, and waiting for
conditions."""
import os
import signal
import subprocess
import time

POLL_INTERVAL = 0.01  # seconds between two checks of a condition


class ExpectationFailed(Exception):
    """A condition was not met in time, or a step had another result than expected."""


def wait_for(condition, max_wait, what):
    """Waits until `condition()` is true and returns the seconds it took. Raises ExpectationFailed,
    which names `what`, after `max_wait` seconds."""
    start = time.monotonic()
    while True:
        held = condition()
        elapsed = time.monotonic() - start
        if held:
            return elapsed
        if elapsed > max_wait:
            raise ExpectationFailed("%s: not within %.1f s" % (what, max_wait))
        time.sleep(POLL_INTERVAL)


class Process:
    """A process that writes to a log file and can be restarted with the same arguments."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen = None
        self.paused = False

    def start(self, extra=()):
        """Starts the process; the `extra` arguments apply to this start only."""
        with open(self.log, "ab") as output:
            self.popen = subprocess.Popen(
                self.arguments + list(extra), stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )
        self.paused = False

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        """Kills the process, like the loss of its host."""
        if self.is_running():
            self.popen.kill()
            self.popen.wait()

    def terminate(self):
        """Sends SIGTERM, which asks the process to stop; see wait_exit()."""
        self.popen.terminate()

    def wait_exit(self, max_wait):
        """Waits at most `max_wait` seconds for the end of the process; returns its exit status."""
        try:
            return self.popen.wait(max_wait)
        except subprocess.TimeoutExpired:
            raise ExpectationFailed("%s: still running after %.1f s"
                                    % (self.name, max_wait)) from None

    def pause(self):
        """Suspends the process until resume()."""
        os.kill(self.popen.pid, signal.SIGSTOP)
        self.paused = True

    def resume(self):
        os.kill(self.popen.pid, signal.SIGCONT)
        self.paused = False

    def log_tail(self, lines=5):
        """Last lines of the log."""
        with open(self.log, errors="replace") as stream:
            return "".join(stream.readlines()[-lines:])
