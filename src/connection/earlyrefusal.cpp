#include "connection/earlyrefusal.h"

namespace cassiaroad {

namespace {

constexpr int contentTooLarge = 413;
constexpr int unavailable = 503;

} // namespace

std::string earlyRefusal(int status)
{
    const bool isBusy = status == unavailable;
    const std::string phrase = isBusy                      ? "Service Unavailable"
                               : status == contentTooLarge ? "Content Too Large"
                                                           : "Request Header Fields Too Large";
    return "HTTP/1.1 " + std::to_string(status) + " " + phrase
           + "\r\ncontent-length: 0\r\nconnection: close\r\ncassiaroad-outcome: not-run\r\n"
           + (isBusy ? "retry-after: 1.000\r\n" : "") + "\r\n";
}

} // namespace cassiaroad
