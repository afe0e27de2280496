#include "connection/pipelinewindow.h"

#include <algorithm>

namespace cassiaroad {

PipelineWindow::PipelineWindow(std::size_t maxRequests, std::size_t maxHeadBytes)
    : maxRequests(maxRequests)
    , maxHeadBytes(maxHeadBytes)
{ }

// Reads the head of the open request. Returns whether requests may start behind it.
bool PipelineWindow::readOpen(std::string_view bytes, const MayStart &mayStart)
{
    if (this->openBytes == 0 && !this->isBlocked) {
        const HeadAhead open = readHeadAhead(bytes, this->maxHeadBytes);
        const auto *head = std::get_if<PipelinedHead>(&open);
        this->isBlocked = head == nullptr || !mayStart(*head);
        this->openBytes = head != nullptr ? head->bytes.size() : 0;
    }
    return !this->isBlocked;
}

PipelineWindow::Decision PipelineWindow::decide(std::string_view bytes, const MayStart &mayStart)
{
    Decision decision;
    if (!this->readOpen(bytes, mayStart)) {
        return decision;
    }
    std::size_t position = this->openBytes;
    for (const std::string &head : this->started) {
        position += head.size();
    }
    while (this->started.size() < this->maxRequests && position <= bytes.size()) {
        HeadAhead next = readHeadAhead(bytes.substr(position), this->maxHeadBytes);
        decision.awaitsMore = std::holds_alternative<IncompleteHead>(next);
        auto *head = std::get_if<PipelinedHead>(&next);
        if (head == nullptr || !mayStart(*head)) {
            return decision;
        }
        position += head->bytes.size();
        this->started.push_back(head->bytes);
        decision.starting.push_back(std::move(*head));
    }
    return decision;
}

bool PipelineWindow::takeTurn(std::string_view bytes)
{
    this->isBlocked = false;
    this->openBytes = 0;
    if (this->started.empty()) {
        return false;
    }
    const std::string head = std::move(this->started.front());
    this->started.pop_front();
    if (normalizedHead(bytes.substr(0, head.size())) != head) {
        this->started.clear();
        return false;
    }
    this->openBytes = head.size();
    return true;
}

void PipelineWindow::truncate(std::size_t count)
{
    this->started.resize(std::min(count, this->started.size()));
}

} // namespace cassiaroad
