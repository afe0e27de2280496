#pragma once

#include "request/requestoutcome.h"

namespace cassiaroad {

/**
 * What may have reached upstreams of one request, over all its attempts. Refusals come from here,
 * so that "not run" cannot be reported once a byte may have been written. Not thread-safe.
 */
class SendProgress
{
public:
    /** To be called before the first byte of an attempt is written. */
    void markWritten() { this->written = true; }

    /** The upstream of the current attempt reported that it did not run the request. */
    void markRefusedByUpstream() { this->written = false; }

    /** The current attempt ended without a whole answer. */
    void markResponseLost()
    {
        this->lost = this->lost || this->written;
        this->written = false;
    }

    /** Whether an upstream may have run the request. */
    bool mayHaveRun() const { return this->written || this->lost; }

    /**
     * Ends the request without an answer: refused with @p status if nothing can have run, and
     * otherwise unknown, with 504 if @p status is 504 and 502 in all other cases.
     */
    RequestOutcome refuse(int status, std::string reason) const;

private:
    bool written = false; // of the current attempt
    bool lost = false; // an earlier attempt may have run
};

} // namespace cassiaroad
