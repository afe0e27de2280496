"""Controls the `link` process that emulates the network lines between the processes of a site."""
import os
import subprocess


class Link:
    """Starts a `link` process and sends it commands."""

    def __init__(self, build):
        self.process = subprocess.Popen(
            [os.path.join(build, "link")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def command(self, text):
        """Runs one command and returns the words of its reply after "ok". Raises RuntimeError if it
        fails."""
        self.process.stdin.write(text + "\n")
        self.process.stdin.flush()
        words = self.process.stdout.readline().split()
        if not words or words[0] != "ok":
            raise RuntimeError("link: %s: %s" % (text, " ".join(words)))
        return words[1:]

    def add(self, name, target, latency_us=0, line=""):
        """Adds a relay to `target` and returns its address."""
        port = self.command("add %s 127.0.0.1:0 %s %d %s" % (name, target, latency_us, line))[0]
        return "127.0.0.1:" + port

    def count(self, pattern):
        """Totals of the matching relays: bytes to targets, bytes to clients, connections."""
        return tuple(int(word) for word in self.command("count " + pattern))

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()
