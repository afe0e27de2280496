"""Sites for the measurements: one region of the wanted size, the other as small as possible."""
from testsite import ExpectationFailed, Site
from testsite.site import Host

# Shortens the start; no figure depends on the delay before the first assignment.
TUNING = {"timing": {"initial-assignment-ms": 500}}
ONE_KEY = "key-0"  # the only key of `load --keys 1`
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

    def arguments(self, host):
        """As for every site, but the upstreams send their first announcements to different entry
        hosts."""
        arguments = super().arguments(host)
        if host.role not in self.services:
            return arguments
        at = [index for index, word in enumerate(arguments) if word == "--entry"]
        addresses = [arguments[index + 1] for index in at]
        first = self.upstreams(region=host.region).index(host) % len(addresses)
        for index, address in zip(at, addresses[first:] + addresses[:first]):
            arguments[index + 1] = address
        return arguments

    def owner_of_one_key(self, service):
        """Region and upstream of ONE_KEY, whose shard belongs to one of the regions. Raises
        ExpectationFailed if it has no owner."""
        for region in self.regions:
            name = self.owner(service, ONE_KEY, region)
            for host in self.upstreams(service, region):
                if host.name == name:
                    return region, host
        raise ExpectationFailed("%s/%s has no owner" % (service, ONE_KEY))

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
