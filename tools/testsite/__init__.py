"""Sites of real processes on loopback, for the demo, the proofs and the measurements."""
from .http import Response, Balancer, NoResponse, Traffic, announce_body, request
from .journal import violations, outcome_violations, read_journals
from .process import ExpectationFailed, Process, wait_for
from .site import Host, Site

__all__ = ["Response", "Balancer", "Host", "NoResponse", "ExpectationFailed", "Process", "Site",
           "Traffic", "announce_body", "violations", "outcome_violations", "read_journals",
           "request", "wait_for"]
