#include "connection/socketaddress.h"

#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace cassiaroad {

SocketAddress toSocketAddress(const HostAddress &address)
{
    SocketAddress result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        result.length = sizeof(sockaddr_in);
        return result;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        result.length = sizeof(sockaddr_in6);
    }
    return result;
}

HostAddress parseHostAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    HostAddress address { text.substr(0, colon), 0 };
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    return error == std::errc() && rest == end ? address : HostAddress {};
}

} // namespace cassiaroad
