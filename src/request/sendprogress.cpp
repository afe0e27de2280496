#include "request/sendprogress.h"

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace

RequestOutcome SendProgress::refuse(int status, std::string reason) const
{
    if (this->mayHaveRun()) {
        return OutcomeUnknown { status == gatewayTimeout ? gatewayTimeout : badGateway,
                                std::move(reason) };
    }
    // 504 means an unknown outcome (design, section 6.1).
    return RefusedNotRun(status == gatewayTimeout ? serviceUnavailable : status, std::move(reason));
}

} // namespace cassiaroad
