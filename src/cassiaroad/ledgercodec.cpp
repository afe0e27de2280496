#include "cassiaroad/ledgercodec.h"

#include <xxhash.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxStoredBody = 8192;

std::string text(capnp::Text::Reader reader)
{
    return { reader.cStr(), reader.size() };
}

StoredAnswer decodeAnswer(rpc::StoredAnswer::Reader reader)
{
    const auto body = reader.getBody().asChars();
    return { reader.getStatus(), text(reader.getContentType()),
             std::string(body.begin(), body.size()), reader.getTruncated() };
}

void encodeAnswer(const StoredAnswer &answer, rpc::StoredAnswer::Builder builder)
{
    builder.setStatus(answer.status);
    builder.setContentType(answer.contentType);
    builder.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(answer.body.data()),
                                 answer.body.size()));
    builder.setTruncated(answer.truncated);
}

} // namespace

LedgerBeginResult decodeBegin(rpc::BeginReply::Reader reply)
{
    switch (reply.which()) {
    case rpc::BeginReply::STARTED:
        return LedgerStarted { reply.getStarted() };
    case rpc::BeginReply::FINISHED:
        return decodeAnswer(reply.getFinished());
    case rpc::BeginReply::UNKNOWN:
        return LedgerUnknown {};
    case rpc::BeginReply::MISMATCH:
        return LedgerMismatch {};
    case rpc::BeginReply::FULL:
        return LedgerFull {};
    default:
        return LedgerInProgress {};
    }
}

void encodeOutcome(const LedgerOutcome &outcome, rpc::FinishRequest::Builder builder)
{
    if (const auto *answer = std::get_if<StoredAnswer>(&outcome)) {
        encodeAnswer(*answer, builder.initAnswer());
    } else if (std::holds_alternative<LedgerNotRun>(outcome)) {
        builder.setNotRun();
    } else {
        builder.setUnknown();
    }
}

LedgerOutcome ledgerOutcome(const RequestEnd &end)
{
    if (std::holds_alternative<RefusedNotRun>(end.outcome)) {
        return LedgerNotRun {};
    }
    if (std::holds_alternative<OutcomeUnknown>(end.outcome)) {
        return LedgerUnknown {};
    }
    const bool fits = end.response.body.size() <= maxStoredBody;
    return StoredAnswer { static_cast<std::uint16_t>(end.response.status),
                          std::string(HopHeaders::find(end.response.headers, "content-type")),
                          fits ? end.response.body : std::string(), !fits };
}

RequestEnd replayed(const StoredAnswer &answer)
{
    Headers headers;
    if (!answer.contentType.empty()) {
        headers.emplace_back("content-type", answer.contentType);
    }
    Headers extra { { "cassiaroad-replayed", "true" } };
    if (answer.truncated) {
        extra.emplace_back("cassiaroad-answer-truncated", "true");
    }
    return { Answered { answer.status },
             { answer.status, std::move(headers), answer.body },
             std::move(extra) };
}

std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t digest = 0;
    for (const std::string_view part : { method, path, body }) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return digest;
}

} // namespace cassiaroad
