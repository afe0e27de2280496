#include "connection/socketaddress.h"

#include "process/parsenumber.h"

#include <string_view>

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
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    return port ? HostAddress { text.substr(0, colon), *port } : HostAddress {};
}

} // namespace cassiaroad
