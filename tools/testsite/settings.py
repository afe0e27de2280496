"""Regions, services and settings files of the test sites, modelled on examples/."""

# For each user: the zones of each region, the write and read priority of each service, and the
# weights of imbalance, churn and unavailability in the placement.
USERS = {
    "rastikartta": {
        "regions": {
            "etela": ["etela-a", "etela-b"],
            "pohjoinen": ["pohjoinen-a", "pohjoinen-b"],
        },
        "services": {"orders": ("critical", "normal"), "basemaps": ("bulk", "bulk")},
        "weights": (1, 1, 4),
    },
    "badia": {
        "regions": {
            "north-badia": ["north-badia-a", "north-badia-b"],
            "south-maan": ["south-maan-a", "south-maan-b"],
        },
        "services": {"bookings": ("critical", "normal"), "fleeces": ("bulk", "bulk")},
        "weights": (1, 4, 1),
    },
}


def settings_text(site, host, address):
    """Text of the settings file of `host`. `address(target, listener)` returns the address at which
    the host reaches a listener."""
    lines = ["[site]", "name = " + site.user, "regions = " + ", ".join(site.regions), ""]
    lines += ["[host]", "name = " + host.name, "role = " + host.role]
    lines += ["region = " + host.region, "zone = " + host.zone, ""]
    for region, zones in site.regions.items():
        gateways = [address(entry, "callers") for entry in site.entries(region)]
        lines += ["[region.%s]" % region, "zones = " + ", ".join(zones)]
        lines += ["gateways = " + ", ".join(gateways), ""]
    for service, (write, read) in site.services.items():
        lines += ["[service.%s]" % service, "shards = %d" % site.shards]
        lines += ["write-priority = " + write, "read-priority = " + read, ""]
    for member in site.members(host.group):
        lines += ["[member.%d]" % member.number, "region = " + member.region]
        lines += ["zone = " + member.zone, "rpc = " + address(member, "rpc")]
        lines += ["operators = " + address(member, "operators"), ""]
    return "\n".join(lines + role_lines(host) + tuning_lines(site))


def role_lines(host):
    """Section of the host's role."""
    if host.role == "entry":
        listeners = ["%s = %s" % (name, host.addresses[name])
                     for name in ("callers", "announce", "admin")]
        return ["[entry]"] + listeners + ["announce-token-file = announce.token",
                                          "trace-file = %s.traces" % host.name, ""]
    if host.role == "control":
        return ["[control]", "member = %d" % host.number, "group = " + host.group,
                "data = %s.data" % host.name, "operator-token-file = operator.token", ""]
    return ["[operator]", "operator-token-file = operator.token", ""]


def tuning_lines(site):
    """Section "placement" and the sections of the site's tuning."""
    names = ("imbalance-weight", "churn-weight", "unavailability-weight")
    lines = ["[placement]"]
    lines += ["%s = %d" % pair for pair in zip(names, site.weights)]
    for section, values in site.tuning.items():
        lines += ["", "[%s]" % section] + ["%s = %s" % item for item in values.items()]
    return lines + [""]
