"""Sites for the measurements: one region of the wanted size, the other as small as allowed."""
from testsite import Site
from testsite.site import Host

# Shortens the start; the wait before the first assignment has no part in any figure.
TUNING = {"timing": {"initial-assignment-ms": 500}}
SERVICES = ("bookings", "fleeces")


class MeasuredSite(Site):
    """The first region has `entries` entry hosts and `upstreams` upstreams, half of each service;
    the second has one entry host and one upstream of each service, or the same with `both`."""

    def __init__(self, build, folder, entries, upstreams, both=False, **options):
        self.sizes = {"entries": (entries, entries if both else 1),
                      "upstreams": (upstreams // 2, upstreams // 2 if both else 1)}
        options.setdefault("tuning", TUNING)
        super().__init__(build, folder, "badia", **options)

    @property
    def region(self):
        return list(self.regions)[0]

    def place_entries(self, per_zone):
        for (region, zones), count in zip(self.regions.items(), self.sizes["entries"]):
            for number in range(count):
                self.place(Host("%s-entry-%d" % (region, number + 1), "entry", region,
                                zones[number % len(zones)], region,
                                ["callers", "announce", "admin"]))

    def place_upstreams(self, per_zone):
        for service in SERVICES:
            number = 0
            for (region, zones), count in zip(self.regions.items(), self.sizes["upstreams"]):
                for index in range(count):
                    number += 1
                    self.place(Host("%s-%d" % (service, number), service, region,
                                    zones[index % len(zones)], region, ["http"]))
