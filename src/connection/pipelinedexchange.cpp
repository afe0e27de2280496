#include "connection/pipelinedexchange.h"

#include "connection/requestreader.h"
#include "connection/retryafter.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;

} // namespace

std::shared_ptr<PipelinedExchange> PipelinedExchange::create(PipelinedHead head,
                                                             TimePoint arrivedAt,
                                                             KeptResponseMemory memory,
                                                             RunAhead kind)
{
    const std::size_t size = memory.kept.expectedBytes(kind) + head.bytes.size();
    if (!memory.kept.canStart(kind) || !memory.reader.resizeResponse(0, size)) {
        return nullptr;
    }
    memory.kept.resize(0, size);
    return std::make_shared<PipelinedExchange>(std::move(head), arrivedAt, memory, kind, size);
}

PipelinedExchange::PipelinedExchange(PipelinedHead head, TimePoint arrivedAt,
                                     KeptResponseMemory memory, RunAhead kind,
                                     std::size_t reservedBytes)
    : head(std::move(head))
    , headArrivedAt(arrivedAt)
    , memory(memory)
    , kind(kind)
    , reservedBytes(reservedBytes)
{ }

PipelinedExchange::~PipelinedExchange()
{
    this->releaseMemory();
}

void PipelinedExchange::releaseMemory()
{
    if (const std::size_t held = std::exchange(this->reservedBytes, 0); held > 0) {
        this->memory.kept.resize(held, 0);
        this->memory.reader.releaseResponse(held);
    }
}

std::string_view PipelinedExchange::header(std::string_view lowerCaseName) const
{
    if (lowerCaseName == "host") {
        return this->head.host;
    }
    const auto found
            = std::find_if(this->head.headers.begin(), this->head.headers.end(),
                           [&](const auto &entry) { return entry.first == lowerCaseName; });
    return found != this->head.headers.end() ? std::string_view(found->second) : std::string_view();
}

std::vector<std::pair<std::string_view, std::string_view>> PipelinedExchange::headers() const
{
    return { this->head.headers.begin(), this->head.headers.end() };
}

void PipelinedExchange::answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                               std::string body)
{
    if (this->answered || this->clientGone) {
        return;
    }
    this->answered = true;
    this->clientGoneCallback = nullptr;
    this->memory.kept.recordSize(this->kind, body.size());
    if (const std::shared_ptr<HttpExchange> current = std::exchange(this->turn, nullptr)) {
        current->answer(status, std::move(headers), std::move(body));
        return;
    }
    this->keep({ status, std::move(headers), std::move(body) });
}

// Keeps the response in the memory that was reserved for it, and in more if there is room.
void PipelinedExchange::keep(Response response)
{
    this->keptSince = Clock::now();
    const std::size_t size = response.body.size() + this->head.bytes.size();
    if (!this->memory.reader.resizeResponse(this->reservedBytes, size)) {
        // The outcome of the request is lost with the response.
        this->kept = Response { badGateway, {}, {} };
        return;
    }
    this->memory.kept.resize(this->reservedBytes, size);
    this->reservedBytes = size;
    this->kept = std::move(response);
}

void PipelinedExchange::onClientGone(std::function<void()> callback)
{
    if (!this->answered && !this->clientGone) {
        this->clientGoneCallback = std::move(callback);
    }
}

void PipelinedExchange::takeTurn(const std::shared_ptr<HttpExchange> &turn)
{
    this->releaseMemory();
    if (auto response = std::exchange(this->kept, std::nullopt)) {
        reduceRetryAfter(response->headers, Clock::now() - this->keptSince);
        turn->answer(response->status, std::move(response->headers), std::move(response->body));
        return;
    }
    this->turn = turn;
    turn->onClientGone([weak = this->weak_from_this()] {
        if (const std::shared_ptr<PipelinedExchange> exchange = weak.lock()) {
            exchange->cancel();
        }
    });
}

void PipelinedExchange::cancel()
{
    this->kept.reset();
    this->turn.reset();
    this->releaseMemory();
    if (this->answered || std::exchange(this->clientGone, true)) {
        return;
    }
    if (const std::function<void()> callback = std::exchange(this->clientGoneCallback, nullptr)) {
        callback();
    }
}

} // namespace cassiaroad
