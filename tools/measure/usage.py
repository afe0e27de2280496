"""Processor time, memory and traffic of the processes of a site."""
import os
import time

TICKS = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024.0


def processor_seconds(pid):
    """User and system time of a process so far, in seconds. Precondition: it has one thread."""
    try:
        # In nanoseconds; the ticks of 10 ms in /proc/PID/stat are too coarse for short periods.
        with open("/proc/%d/schedstat" % pid) as stream:
            return int(stream.read().split()[0]) / 1e9
    except FileNotFoundError:
        pass
    with open("/proc/%d/stat" % pid) as stream:
        fields = stream.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mib(pid, field="VmRSS"):
    """Resident memory of a process in MiB, or its peak with the field VmHWM."""
    with open("/proc/%d/status" % pid) as stream:
        for line in stream:
            if line.startswith(field + ":"):
                return int(line.split()[1]) / KIB_PER_MIB
    raise OSError("process %d has no %s" % (pid, field))


def link_bytes(site, host):
    """Bytes that a host has sent and received so far through the relays between the hosts. Requests
    that this program sends to the host directly are not counted."""
    to_host, from_host, _ = site.link.count("*>%s.*" % host.place)
    sent, received, _ = site.link.count("%s>*" % host.place)
    return sent + from_host, received + to_host


class Usage:
    """Resources that a host has used since this object was created."""

    def __init__(self, site, host):
        self.site = site
        self.host = host
        self.start = self.sample()

    def sample(self):
        """Time now, and processor time, bytes sent and bytes received so far."""
        sent, received = link_bytes(self.site, self.host)
        return time.monotonic(), processor_seconds(self.host.process.popen.pid), sent, received

    def since_start(self):
        """Seconds, processor seconds, bytes sent and bytes received since the first sample."""
        return [now - before for now, before in zip(self.sample(), self.start)]

    def rates(self):
        """Processor time, bytes sent and bytes received since the first sample, each per second."""
        seconds, *used = self.since_start()
        return [amount / seconds for amount in used]
