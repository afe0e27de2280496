#pragma once

#include "gateway/gatewayupstream.h"
#include "process/eventloop.h"
#include "request/permitclient.h"

#include <functional>

namespace cassiaroad {

/**
 * Admits requests of this gateway to cold upstreams, one with each permit of the leader, and asks
 * the leader for permits. Loop thread only.
 */
class ColdAdmission
{
public:
    /** Receives the leader's reply; nothing: there is none. */
    using Done = std::function<void(const std::optional<PermitReply> &)>;
    /** Sends a call to the leader; returns false, and calls nothing, if no leader is known. */
    using Caller = std::function<bool(const PermitRequest &, Done)>;

    /** @p gateway is the name under which this gateway reports to the leader. */
    ColdAdmission(EventLoop &loop, std::string gateway);

    void setCaller(Caller value) { this->caller = std::move(value); }
    void setGateways(std::uint32_t count) { this->permits.setGateways(count, this->loop.now()); }

    /** Whether a request may be started at @p upstream: it is not cold, or a permit is there. */
    bool admits(const GatewayUpstream &upstream) const;
    /**
     * Asks for a permit for one request at @p upstream. Nothing: the leader is asked, and wait()
     * tells when it has decided.
     */
    std::optional<PermitRefusal> ask(const GatewayUpstream &upstream);
    /** Returns the time until the leader may be asked for a permit of @p upstream. */
    Milliseconds refusedFor(const GatewayUpstream &upstream) const;
    /**
     * Takes a permit for one request at @p upstream. Returns until when its first byte may be
     * written; nothing if the upstream is not cold, or there is no permit.
     */
    std::optional<TimePoint> take(const GatewayUpstream &upstream);

    /**
     * Calls @p resume once, when the leader has decided about a permit for @p upstream that was
     * asked for just now. Returns a number for cancelWait().
     */
    std::uint64_t wait(const GatewayUpstream &upstream, std::function<void()> resume);
    /** Takes the ask of a request back that no longer waits. */
    void cancelWait(std::uint64_t number);

private:
    /** A request that waits for a decision. */
    struct Wait
    {
        HostAddress address;
        std::uint64_t call = 0; // number of the call that asks for its permit
        std::function<void()> resume;
    };

    void scheduleCall();
    void call();
    void onDone(std::uint64_t number, const std::optional<PermitReply> &reply);
    void resumeWaits();

    EventLoop &loop;
    PermitClient permits;
    Caller caller; // may be empty
    std::map<std::uint64_t, Wait> waits;
    std::uint64_t lastWait = 0;
    std::uint64_t lastCall = 0; // number
    bool isCalling = false; // the last call is in progress
    EventLoop::Timer callTimer; // of the next call
    EventLoop::Timer replyTimer; // of the call in progress
};

} // namespace cassiaroad
