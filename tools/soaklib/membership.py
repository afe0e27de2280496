"""What the log of a control host tells of its place in the control group."""
import re

LINE = re.compile(r'"timestamp": "[^ ]* ([^"]*)".*"message": "replica: (.*)" }')
VOTERS = re.compile(r"voters are ([^;]*); .*; last entry (\d+)")


class MembershipLog:
    """Changes of the membership in the order of the log. Pure."""

    def __init__(self, text):
        self.lines = LINE.findall(text)  # (time of day, text)

    def votes_since(self):
        """Time of the log line since which the member votes; None while it does not. The line says
        so by the member's own log, which has all entries before."""
        since = None
        for at, line in self.lines:
            if line.startswith("creates data folder"):
                since = None
            elif line.startswith("voters are "):
                since = (since or at) if "; this member votes" in line else None
        return since

    def roles(self):
        """The role, term and leader as last logged; empty before the first."""
        return next((line for _, line in reversed(self.lines) if line.startswith("is ")), "")

    def voters(self):
        """Last entry and the voters, as "slot/incarnation", of the newest line about them."""
        found = [VOTERS.match(line) for _, line in self.lines if line.startswith("voters are ")]
        return (int(found[-1][2]), set(found[-1][1].split())) if found else (0, set())

    def identity(self):
        """This member as "slot/incarnation"; None while it does not vote by its own log."""
        slots = [line.split()[5].rstrip(",") for _, line in self.lines
                 if line.startswith("creates data folder")]
        if not slots or self.votes_since() is None:
            return None
        return next((voter for voter in self.voters()[1] if voter.split("/")[0] == slots[-1]), None)

    def takes_part(self):
        """Whether the member votes and its start is confirmed: it has logged a role of a voter."""
        return self.votes_since() is not None and "learner" not in (self.roles() or "learner")

    def waits_for(self):
        """What the member has waited for, if its last line says so."""
        last = self.lines[-1][1] if self.lines else ""
        return last if last.startswith("has waited ") else ""

    def describe(self):
        since = self.votes_since()
        vote = f"votes since {since}" if since else "does not vote"
        return "; ".join(part for part in (vote, self.roles(), self.waits_for()) if part)


def newest_voters(logs):
    """The voters by the log of the member that knows most entries."""
    return max((log.voters() for log in logs), key=lambda voters: voters[0], default=(0, set()))[1]
