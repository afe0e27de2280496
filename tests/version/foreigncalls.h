#pragma once

#include "leasesimulation.h"

#include <rapidcheck.h>

#include <ostream>

namespace cassiaroad {

// Calls of other writers, which name ids and addresses of upstreams that are up.

enum class ForeignService { Same, Other, Unnamed };
enum class ForeignBorn { Same, Earlier, Later, Future };

/** A heartbeat of another writer, sent once or repeatedly, or a withdrawal. */
struct ForeignCall
{
    int wait = 0; // steps since the previous call
    int target = 0; // number of the upstream whose id or address it names
    bool withdraws = false;
    bool hasId = false; // the id of the target
    bool hasAddress = false; // the address of the target
    ForeignService service = ForeignService::Same;
    ForeignBorn born = ForeignBorn::Later;
    bool draining = false;
    int count = 1; // how often it is sent, once per heartbeat interval
};

inline void showValue(const ForeignCall &call, std::ostream &out)
{
    out << "{foreign: wait " << call.wait << ", target " << call.target
        << (call.withdraws ? ", withdraws" : "") << (call.hasId ? ", id" : "")
        << (call.hasAddress ? ", address" : "") << ", service " << static_cast<int>(call.service)
        << ", born " << static_cast<int>(call.born) << (call.draining ? ", draining" : "")
        << ", count " << call.count << "}";
}

inline std::int64_t foreignStartTime(ForeignBorn born, std::int64_t known, std::int64_t now)
{
    switch (born) {
    case ForeignBorn::Same:
        return known;
    case ForeignBorn::Earlier:
        return known - 1;
    case ForeignBorn::Later:
        return now;
    case ForeignBorn::Future:
        return now + 1000000000;
    }
    return now;
}

/**
 * Returns the first heartbeat of @p call, which is the @p number-th one. One that names the id, the
 * service and the address of the target cannot be told from a heartbeat of the target, or of its
 * next incarnation. Such a one is sent once, with a start time of its own.
 */
inline UpstreamReport foreignReport(ForeignCall &call, const UpstreamIncarnation &target,
                                    const HostAddress &address, int number, std::int64_t now)
{
    UpstreamReport report;
    report.incarnation = { call.hasId ? target.id : "x-" + std::to_string(number),
                           foreignStartTime(call.born, target.born, now) };
    report.address = call.hasAddress ? address : HostAddress { "10.0.9.9", 80 };
    report.service = call.service == ForeignService::Same    ? simulatedService
                     : call.service == ForeignService::Other ? otherSimulatedService
                                                             : "mittari";
    report.zone = "a";
    report.slots = 6;
    report.draining = call.draining;
    report.sequence = 1;
    const bool isImpostor = call.hasId && call.hasAddress && call.service == ForeignService::Same;
    if (isImpostor) {
        call.count = 1;
        report.incarnation.born += call.born == ForeignBorn::Same ? -2 : number;
    }
    return report;
}

} // namespace cassiaroad

namespace rc {

template <>
struct Arbitrary<cassiaroad::ForeignCall>
{
    static Gen<cassiaroad::ForeignCall> arbitrary()
    {
        using cassiaroad::ForeignBorn;
        using cassiaroad::ForeignCall;
        using cassiaroad::ForeignService;
        return gen::build<ForeignCall>(
                gen::set(&ForeignCall::wait, gen::inRange(1, 250)),
                gen::set(&ForeignCall::target, gen::inRange(0, 5)),
                gen::set(&ForeignCall::withdraws,
                         gen::map(gen::inRange(0, 6), [](int value) { return value == 0; })),
                gen::set(&ForeignCall::hasId, gen::arbitrary<bool>()),
                gen::set(&ForeignCall::hasAddress, gen::arbitrary<bool>()),
                gen::set(&ForeignCall::service,
                         gen::map(gen::inRange(0, 3),
                                  [](int value) { return static_cast<ForeignService>(value); })),
                gen::set(&ForeignCall::born,
                         gen::map(gen::inRange(0, 4),
                                  [](int value) { return static_cast<ForeignBorn>(value); })),
                gen::set(&ForeignCall::draining,
                         gen::map(gen::inRange(0, 4), [](int value) { return value == 0; })),
                gen::set(&ForeignCall::count, gen::inRange(1, 6)));
    }
};

} // namespace rc
