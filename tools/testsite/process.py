"""Processes of a test site, handled by their own process id, and waiting for conditions."""
import os
import signal
import subprocess
import time

POLL = 0.01  # seconds between two looks at a condition


class NotHeld(Exception):
    """A condition did not hold within its bound, or a step showed something else."""


def wait_for(condition, bound, what):
    """Waits until `condition()` is true, at most `bound` seconds. Returns the seconds it took."""
    start = time.monotonic()
    while True:
        held = condition()
        elapsed = time.monotonic() - start
        if held:
            return elapsed
        if elapsed > bound:
            raise NotHeld("%s: not within %.1f s" % (what, bound))
        time.sleep(POLL)


class Process:
    """One process with its log file; can be started again with the same arguments."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen = None
        self.paused = False

    def start(self, extra=()):
        """Starts the process; `extra` arguments are for this start only."""
        with open(self.log, "ab") as output:
            self.popen = subprocess.Popen(
                self.arguments + list(extra), stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )
        self.paused = False

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        """Ends the process at once, as a loss of its host does."""
        if self.is_running():
            self.popen.kill()
            self.popen.wait()

    def terminate(self):
        """Asks the process to stop; see wait_exit()."""
        self.popen.terminate()

    def wait_exit(self, bound):
        """Waits for the end of the process and returns its exit status."""
        try:
            return self.popen.wait(bound)
        except subprocess.TimeoutExpired:
            raise NotHeld("%s: still running after %.1f s" % (self.name, bound)) from None

    def pause(self):
        os.kill(self.popen.pid, signal.SIGSTOP)
        self.paused = True

    def resume(self):
        os.kill(self.popen.pid, signal.SIGCONT)
        self.paused = False

    def log_tail(self, lines=5):
        with open(self.log, errors="replace") as stream:
            return "".join(stream.readlines()[-lines:])
