#include "process/replicacodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const MemberRun run { { 3, 0xfedcba9876543210 }, 5, 77 };
const Configuration configuration { { { 1, 10 }, { 2, 20 } } };

std::vector<MessageBody> bodies()
{
    const std::vector<LogEntry> entries { { 1, 1, NoOp {} },
                                          { 2, 1, CommandBytes { std::string("a\0b", 3) } },
                                          { 3, 2, configuration } };
    return { VoteRequest { 1, 2, 3, true, true },
             VoteReply { 1, true, true },
             AppendRequest { 1, 2, 3, 4, { -5 }, { run }, entries },
             AppendReply { 1, true, 2, 3, 4, 5, { 6 } },
             SnapshotChunk { 1, { 2, 3, configuration }, 4, 5, "data", { 6 } },
             SnapshotReply { 1, 2, 3, { 4 } },
             TransferRequest { 1 },
             StartReport { 1, 2, true, { run, run } },
             StartReply { run, StartVerdict::AskLeader, 1, true, true, { 2, 3, configuration } } };
}

} // namespace

// Guards against a field that is not encoded or not decoded.
TEST(ReplicaCodec, everyMessageComesBackAsItWas)
{
    for (const MessageBody &body : bodies()) {
        const ReplicaMessage message { run, { 1, 0 }, body };
        const auto decoded = decodeReplicaMessage(encodeReplicaMessage(message));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, message) << "body " << body.index();
    }
}

// Guards against invalid bytes from the network that terminate the process.
RC_GTEST_PROP(ReplicaCodec, damagedBytesAreRefusedOrDecoded, (std::uint32_t position, char value))
{
    for (const MessageBody &body : bodies()) {
        std::string bytes = encodeReplicaMessage({ run, { 1, 0 }, body });
        bytes[position % bytes.size()] = value;
        decodeReplicaMessage(bytes);
        bytes.resize(position % bytes.size());
        decodeReplicaMessage(bytes);
    }
}
