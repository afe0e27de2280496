#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <sys/socket.h>

namespace cassiaroad {

using LinkClock = std::chrono::steady_clock;
using LinkTime = LinkClock::time_point;

/** Capacity that relays share in one direction. Not thread-safe. */
class LinkRate
{
public:
    /** Zero means unlimited. */
    void setBytesPerSecond(double rate) { this->bytesPerSecond = rate; }

    /** Takes the time to send @p bytes; returns when the last of them has left. */
    LinkTime reserve(std::size_t bytes, LinkTime now)
    {
        if (this->bytesPerSecond <= 0) {
            return now;
        }
        const std::chrono::duration<double> duration(static_cast<double>(bytes)
                                                     / this->bytesPerSecond);
        this->nextFree = std::max(this->nextFree, now)
                         + std::chrono::duration_cast<LinkClock::duration>(duration);
        return this->nextFree;
    }

private:
    double bytesPerSecond = 0;
    LinkTime nextFree;
};

/** Bytes on their way from one socket to another, with latency and rate. Not thread-safe. */
class RelayDirection
{
public:
    /** Whether the direction takes more bytes now. */
    bool wantsBytes() const { return !this->sourceEnded && this->waitingBytes < maxWaitingBytes; }

    /** Whether bytes or the end of the stream are due to be written. */
    bool isDue(LinkTime now) const { return !this->chunks.empty() && this->chunks[0].due <= now; }

    bool isFinished() const { return this->sourceEnded && this->chunks.empty(); }

    /** When the next chunk is due; a far time if there is none. */
    LinkTime nextDue() const
    {
        return this->chunks.empty() ? LinkTime::max() : this->chunks[0].due;
    }

    /** Reads once from @p source. Returns false if the connection failed. */
    bool readFrom(int source, std::chrono::microseconds latency, LinkRate &rate, LinkTime now)
    {
        char buffer[64 * 1024];
        const ssize_t size = recv(source, buffer, sizeof(buffer), 0);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        const auto count = static_cast<std::size_t>(size);
        this->sourceEnded = count == 0;
        this->waitingBytes += count;
        this->chunks.push_back({ rate.reserve(count, now) + latency, { buffer, count } });
        return true;
    }

    /** Writes what is due to @p target. Returns false if the connection failed. */
    bool writeTo(int target, LinkTime now, std::uint64_t &written)
    {
        while (this->isDue(now)) {
            std::string &bytes = this->chunks.front().bytes;
            if (bytes.empty()) {
                shutdown(target, SHUT_WR);
                this->chunks.pop_front();
                continue;
            }
            const ssize_t size = send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size < 0) {
                return errno == EAGAIN || errno == EINTR;
            }
            written += static_cast<std::uint64_t>(size);
            this->waitingBytes -= static_cast<std::size_t>(size);
            bytes.erase(0, static_cast<std::size_t>(size));
            if (!bytes.empty()) {
                return true;
            }
            this->chunks.pop_front();
        }
        return true;
    }

    /** Drops everything that has not been written. */
    void discard()
    {
        this->chunks.clear();
        this->waitingBytes = 0;
    }

private:
    struct Chunk
    {
        LinkTime due;
        std::string bytes; // empty: end of the stream
    };

    static constexpr std::size_t maxWaitingBytes = 1UL << 20; // 1 MiB

    std::deque<Chunk> chunks;
    std::size_t waitingBytes = 0;
    bool sourceEnded = false;
};

} // namespace cassiaroad
