#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace cassiaroad {

/**
 * Estimates the memory that the requests of one HTTP/2 connection take, from the frames that the
 * client sends. h2o takes them out of the socket's buffer and does not tell what it holds. A stream
 * that h2o has reset for a fault of the client counts until its connection ends. Not thread-safe.
 */
class Http2Streams
{
public:
    /** Whether @p input, the beginning of a connection, is that of an HTTP/2 client. */
    static bool isPreface(std::string_view input);

    /** Receives the next bytes of the connection, the preface included. */
    void receive(std::string_view bytes);

    /** The memory of a request is free. */
    void end(std::uint32_t stream);

    /** Bytes that the requests of all streams take, at most. */
    std::size_t heldBytes() const { return this->held; }

    /** As above, of requests that are not complete. */
    std::size_t incompleteBytes() const { return this->incomplete; }

private:
    static constexpr std::size_t frameHeadBytes = 9;

    struct Stream
    {
        std::size_t bytes = 0; // as estimated
        bool isComplete = false;
    };

    void beginFrame();
    std::size_t receivePayload(std::string_view bytes);
    void complete(Stream &stream);

    std::size_t prefaceLeft = 24;
    std::array<unsigned char, frameHeadBytes> head {}; // of the frame that begins
    std::size_t headSize = 0; // bytes of it that have arrived
    std::size_t payloadLeft = 0; // of the present frame
    unsigned char kind = 0; // of the present frame
    bool endsStream = false; // the present frame does
    std::uint32_t stream = 0; // of the present frame
    std::uint32_t lastStream = 0; // that was opened
    std::map<std::uint32_t, Stream> streams; // open ones
    std::size_t held = 0;
    std::size_t incomplete = 0;
};

} // namespace cassiaroad
