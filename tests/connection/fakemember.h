#pragma once

#include "connection/rpcserver.h"
#include "schema/cassiaroad.capnp.h"

#include <string>
#include <vector>

namespace cassiaroad {

/** How a FakeMember replies, and what it has received. */
struct FakeBehaviour
{
    /** As the leader, as a follower that names leaderAddress, or not at all. */
    enum class Reply { Leader, Follower, Never };

    Reply reply = Reply::Leader;
    std::string leaderAddress;
    int calls = 0; // number of watch and begin calls
    std::vector<std::string> delivered; // replica messages in the order of arrival
};

/** Fake control member; its behaviour can be changed while it runs. */
class FakeMember final : public rpc::Member::Server
{
public:
    explicit FakeMember(FakeBehaviour &behaviour)
        : behaviour(behaviour)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        return this->answer(context, [](auto reply) { reply.initUpdate().setLeaseMs(1000); });
    }

    kj::Promise<void> begin(BeginContext context) override
    {
        return this->answer(context, [](auto reply) { reply.setStarted(7); });
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const auto message = context.getParams().getMessage();
        this->behaviour.delivered.emplace_back(message.asChars().begin(), message.size());
        return kj::READY_NOW;
    }

private:
    template <typename Context, typename Fill>
    kj::Promise<void> answer(Context context, Fill fill)
    {
        ++this->behaviour.calls;
        if (this->behaviour.reply == FakeBehaviour::Reply::Never) {
            return kj::NEVER_DONE;
        }
        auto reply = context.getResults().initReply();
        if (this->behaviour.reply == FakeBehaviour::Reply::Follower) {
            reply.initNotLeader().setAddress(this->behaviour.leaderAddress);
        } else {
            fill(reply);
        }
        return kj::READY_NOW;
    }

    FakeBehaviour &behaviour;
};

/** A FakeMember with a listener on a free loopback port. */
struct ListeningMember
{
    explicit ListeningMember(EventLoop &loop, RpcServerLimits limits = {})
        : server(loop, limits, kj::heap<FakeMember>(this->behaviour))
    {
        this->server.listen({ "127.0.0.1", 0 });
    }

    HostAddress address() const { return { "127.0.0.1", this->server.port() }; }

    FakeBehaviour behaviour;
    RpcServer server;
};

} // namespace cassiaroad
