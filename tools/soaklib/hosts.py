"""Processes of the system under test, and the faults that one of them can have."""
import asyncio
import pathlib
import signal
import shutil
import subprocess
import time

from soaklib.membership import MembershipLog
from soaklib.relay import Relay

ADDRESSES_PER_NET = 250
TOLERATED_LOSSES = 2  # upper bound of the control hosts with a fault at the same time


class Host:
    """A process of the system and the relays in front of its listeners. With `delay_s` every message
    from and to its listeners takes that much longer one way."""

    def __init__(self, name, role, number, ports, folder, binary, delay_s=0.0):
        self.name, self.role, self.binary = name, role, binary
        net, last = divmod(number, ADDRESSES_PER_NET)
        self.ip, self.bind_ip = f"127.{net}.1.{last}", f"127.{net}.2.{last}"
        self.delay_s = delay_s
        self.ports = ports
        self.seeds = []  # in the settings file
        self.role_settings = ""  # more lines of its own section in the settings file
        self.data = folder / name
        self.file = folder / f"{name}.ini"
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None
        self.paused = False
        self.ending = False  # got a signal to end and has not been started since
        self.is_replacement = False  # started empty in the place of another control host
        self.data_begins = 0  # place in the log where the present data folder begins
        self.started_at_byte = 0  # place in the log where the latest process begins
        self.touched_at = 0.0  # time of the latest fault or end of a fault
        self.on_touch = None  # is called with the name at each of these times
        relayed = ports["internal"], ports["control"]
        self.relays = [Relay(f"{self.ip}:{port}", f"{self.bind_ip}:{port}", delay_s)
                       for port in relayed]

    def control_address(self):
        """Where upstreams, operators and other hosts reach this control host."""
        return f"{self.ip}:{self.ports['control']}"

    def write_settings(self, seeds, bootstrap):
        self.seeds = list(seeds)
        ports = self.ports
        role = (f"[registry]\ncontrol = {self.ip}:{ports['control']}\ndata-folder = {self.data}\n"
                f"bootstrap = {str(bootstrap).lower()}\ncounted = true\n"
                if self.role == "registry" else
                f"[gateway]\ncallers = {self.ip}:{ports['callers']}\n"
                f"readiness = {self.ip}:{ports['ready']}\n") + self.role_settings
        metrics = f"metrics-port = {ports['ready']}\n" if self.role == "registry" else ""
        self.file.write_text(
            f"[host]\nname = {self.name}\nip = {self.ip}\nbind-ip = {self.bind_ip}\nzone = a\n"
            f"internal-port = {ports['internal']}\n{metrics}seeds = {','.join(seeds)}\n"
            f"tolerated-losses = {TOLERATED_LOSSES}\nheartbeat-s = 0.5\n{role}"
            "[bounds]\nretry-slack = 50\nstop-grace-s = 4\n[regions]\na = r\n")

    def touch(self):
        """Records that a fault of the host begins or ends now."""
        self.touched_at = time.monotonic()
        if self.on_touch is not None:
            self.on_touch(self.name)

    def start(self):
        self.touch()
        self.started_at_byte = pathlib.Path(self.log.name).stat().st_size
        self.process = subprocess.Popen([self.binary, self.role, "-c", str(self.file)],
                                        stdout=self.log, stderr=self.log)
        self.paused = False
        self.ending = False

    async def wait_until_started(self):
        """Waits until the process has read its settings."""
        log = pathlib.Path(self.log.name)
        while b'"event":"start"' not in log.read_bytes():
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} has ended: {log.read_text()}")
            await asyncio.sleep(0.02)

    def is_up(self):
        return self.process is not None and self.process.poll() is None and not self.paused

    def has_ended_by_itself(self):
        """Whether the process has ended without a signal to end."""
        return self.process is not None and self.process.poll() is not None and not self.ending

    def has_fault(self):
        """Whether the process is down, ending, suspended or behind a relay with a fault."""
        return not self.is_up() or self.ending or any(r.mode != "open" for r in self.relays)

    def signal(self, number):
        """Sends a signal to the process if it is running."""
        self.touch()
        if self.process is not None and self.process.poll() is None:
            self.ending = self.ending or number in (signal.SIGTERM, signal.SIGKILL)
            self.process.send_signal(number)

    def suspend(self):
        self.signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        self.signal(signal.SIGCONT)
        self.paused = False

    def set_relays(self, mode):
        """Sets the mode of the relays."""
        self.touch()
        for relay in self.relays:
            relay.mode = mode

    def reset_connections(self):
        self.touch()
        for relay in self.relays:
            relay.reset_all()

    def silence_connections(self):
        """Makes the open connections silent for good, while new ones work."""
        self.touch()
        for relay in self.relays:
            relay.silence()

    async def wait_until_ended(self):
        """Waits for the end of the process, if it got a signal to end."""
        while self.ending and self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def ends_within(self, seconds):
        """Whether wait_until_ended() returns within `seconds`."""
        try:
            await asyncio.wait_for(self.wait_until_ended(), seconds)
        except TimeoutError:
            return False
        return True

    def restore(self):
        """Resumes or starts the process and opens its relays."""
        if self.paused:
            self.resume()
        if self.process.poll() is not None:
            self.start()
        self.set_relays("open")

    def lose_data(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.data_begins = pathlib.Path(self.log.name).stat().st_size

    def membership(self, since_start=False):
        """What the log tells of this control host in its group since its data folder exists, or
        since the latest start."""
        with open(self.log.name, "rb") as log:
            log.seek(max(self.data_begins, self.started_at_byte) if since_start
                     else self.data_begins)
            return MembershipLog(log.read().decode(errors="replace"))

    def votes(self):
        """Whether this control host votes by its own log; not if its data folder was deleted."""
        return self.membership().votes_since() is not None

    def leave_for_good(self):
        """Kills the process and takes its addresses off the network: nobody answers there."""
        self.end()
        for relay in self.relays:
            relay.mode = "silent"

    def end(self):
        """Kills the process, also if it is suspended, and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def resident_bytes(self):
        """Resident memory of the process; 0 if it is not running."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        sizes = [line.split()[1] for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0]) * 1024 if sizes else 0
