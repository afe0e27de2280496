#include "connection/http2streams.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// As much of the preface as h2o looks at.
constexpr std::string_view prefaceBegin = "PRI * HTTP/2";

constexpr unsigned char dataFrame = 0;
constexpr unsigned char headersFrame = 1;
constexpr unsigned char resetFrame = 3;
constexpr unsigned char continuationFrame = 9;
constexpr unsigned char endStreamFlag = 1;

// What h2o allocates for a stream: its state and the first block of its memory pool.
constexpr std::size_t streamBytes = 8192;
// Header fields are decompressed, copied and listed.
constexpr std::size_t headFactor = 4;
// A body that grows is copied to a buffer of twice the size.
constexpr std::size_t bodyFactor = 2;

} // namespace

bool Http2Streams::isPreface(std::string_view input)
{
    return input.substr(0, prefaceBegin.size()) == prefaceBegin;
}

void Http2Streams::receive(std::string_view bytes)
{
    const std::size_t preface = std::min(this->prefaceLeft, bytes.size());
    this->prefaceLeft -= preface;
    bytes.remove_prefix(preface);
    while (!bytes.empty()) {
        if (this->payloadLeft > 0) {
            bytes.remove_prefix(this->receivePayload(bytes));
            continue;
        }
        this->head.at(this->headSize++) = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        if (this->headSize == frameHeadBytes) {
            this->beginFrame();
        }
    }
}

void Http2Streams::beginFrame()
{
    this->headSize = 0;
    this->payloadLeft = (this->head[0] << 16U) | (this->head[1] << 8U) | this->head[2];
    this->kind = this->head[3];
    this->stream = ((this->head[5] & 0x7fU) << 24U) | (this->head[6] << 16U) | (this->head[7] << 8U)
                   | this->head[8];
    const bool carriesRequest = this->kind == headersFrame || this->kind == dataFrame;
    this->endsStream = carriesRequest && (this->head[4] & endStreamFlag) != 0;
    if (this->kind == resetFrame) {
        this->end(this->stream);
    }
    if (this->kind == headersFrame && this->stream > this->lastStream) {
        this->lastStream = this->stream;
        this->streams[this->stream].bytes = streamBytes;
        this->held += streamBytes;
        this->incomplete += streamBytes;
    }
    if (this->payloadLeft == 0 && this->endsStream && this->streams.contains(this->stream)) {
        this->complete(this->streams.at(this->stream));
    }
}

// Returns how many of @p bytes belong to the present frame.
std::size_t Http2Streams::receivePayload(std::string_view bytes)
{
    const std::size_t size = std::min(this->payloadLeft, bytes.size());
    this->payloadLeft -= size;
    const auto found = this->streams.find(this->stream);
    const bool isHead = this->kind == headersFrame || this->kind == continuationFrame;
    if (found == this->streams.end() || (!isHead && this->kind != dataFrame)) {
        return size;
    }
    Stream &stream = found->second;
    const std::size_t added = size * (isHead ? headFactor : bodyFactor);
    stream.bytes += added;
    this->held += added;
    this->incomplete += stream.isComplete ? 0 : added;
    if (this->payloadLeft == 0 && this->endsStream) {
        this->complete(stream);
    }
    return size;
}

void Http2Streams::complete(Stream &stream)
{
    if (!stream.isComplete) {
        stream.isComplete = true;
        this->incomplete -= stream.bytes;
    }
}

void Http2Streams::end(std::uint32_t stream)
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return;
    }
    this->complete(found->second);
    this->held -= found->second.bytes;
    this->streams.erase(found);
}

} // namespace cassiaroad
