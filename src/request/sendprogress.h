#pragma once

#include "request/requestoutcome.h"

namespace cassiaroad {

/**
 * Tracks over all attempts of one request whether an upstream may have received it. Refusals are
 * created only here, so that "not run" cannot be reported once a byte may have been written. Not
 * thread-safe.
 */
class SendProgress
{
public:
    /** Must be called before the first byte of an attempt is written. */
    void markWritten() { this->written = true; }

    /** The upstream of the current attempt reported that it did not run the request. */
    void markRefusedByUpstream() { this->written = false; }

    /** The current attempt ended without a complete response. */
    void markResponseLost()
    {
        this->responseLost = this->responseLost || this->written;
        this->written = false;
    }

    /** Whether an upstream may have run the request. */
    bool mayHaveRun() const { return this->written || this->responseLost; }

    /**
     * Returns the outcome of the request if it ends without a response: refused if it cannot have
     * run, with @p status or with 503 instead of 504; otherwise unknown, with 504 if @p status is
     * 504 and with 502 in all other cases.
     */
    RequestOutcome refuse(int status, std::string reason) const;

private:
    bool written = false; // a byte of the current attempt may have been written
    bool responseLost = false; // an earlier attempt may have run
};

} // namespace cassiaroad
