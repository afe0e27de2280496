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

/** Limits the rate of one direction of a line, which several relays may share. Not thread-safe. */
class LinkRate
{
public:
    /** Sets the limit; 0 means unlimited. */
    void setBytesPerSecond(double rate) { this->bytesPerSecond = rate; }

    /**
     * Reserves the line for @p bytes after those already reserved; returns the time at which the
     * last of them is sent.
     */
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

/**
 * Buffers the bytes from one socket to another until the latency and the rate limit allow them to
 * be written. Not thread-safe.
 */
class RelayDirection
{
public:
    /** Whether the buffer has space and the source has not ended its stream. */
    bool canAcceptBytes() const
    {
        return !this->sourceEnded && this->waitingBytes < maxWaitingBytes;
    }

    /** Whether bytes or the end of the stream are due to be written. */
    bool isDue(LinkTime now) const { return !this->chunks.empty() && this->chunks[0].due <= now; }

    /** Whether the source has ended its stream and nothing is left to write. */
    bool isFinished() const { return this->sourceEnded && this->chunks.empty(); }

    /** Time at which the next chunk is due; LinkTime::max() if there is none. */
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

    /**
     * Writes the chunks that are due to @p target and adds their bytes to @p written. Returns false
     * if the connection failed.
     */
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
