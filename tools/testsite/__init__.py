"""Sites of real processes on loopback, for the demo, the proofs and the measurements."""
from .http import Answer, Balancer, NoAnswer, Traffic, announce_body, request
from .journal import faults, outcome_faults, read_journals
from .process import NotHeld, Process, wait_for
from .site import Host, Site

__all__ = ["Answer", "Balancer", "Host", "NoAnswer", "NotHeld", "Process", "Site", "Traffic",
           "announce_body", "faults", "outcome_faults", "read_journals", "request", "wait_for"]
