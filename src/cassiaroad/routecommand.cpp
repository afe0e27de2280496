#include "cassiaroad/routecommand.h"

#include "cassiaroad/httpwait.h"
#include "connection/socketaddress.h"
#include "gateway/routepreviewnames.h"

#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

constexpr Milliseconds responseTimeout { 5000 };
constexpr std::size_t maxResponseBytes = std::size_t(8) * 1024 * 1024;
constexpr int statusOk = 200;

void printCandidate(const nlohmann::json &candidate)
{
    std::cout << "  " << std::left << std::setw(24) << candidate.at("upstream").get<std::string>()
              << ' ' << std::setw(16) << candidate.at("zone").get<std::string>() << ' '
              << std::setw(24) << candidate.at("state").get<std::string>() << std::right << " cost "
              << std::fixed << std::setprecision(1) << candidate.at("cost").get<double>()
              << std::defaultfloat << " ms, " << candidate.at("waiting").get<std::uint64_t>()
              << " waiting";
    if (const auto wait = candidate.at("starts_after_ms").get<std::int64_t>(); wait > 0) {
        std::cout << ", starts after " << wait << " ms";
    }
    if (const nlohmann::json &admitted = candidate.at("admitted"); !admitted.is_null()) {
        std::cout << ", " << admitted.get<std::uint64_t>() << " of 1000 admitted";
    }
    std::cout << (candidate.at("subset").get<bool>() ? ", subset" : "") << "\n";
}

void printService(const nlohmann::json &service)
{
    std::cout << "service " << service.at("service").get<std::string>() << ", weight "
              << service.at("weight").get<double>() << ": "
              << service.at("verdict").get<std::string>() << ", "
              << service.at("reason").get<std::string>() << "\n";
    for (const nlohmann::json &candidate : service.at("candidates")) {
        printCandidate(candidate);
    }
}

void print(const nlohmann::json &preview)
{
    const auto route = preview.at("route").get<std::string>();
    std::cout << "configuration " << preview.at("configuration").get<std::uint64_t>() << ", "
              << (route.empty() ? preview.at("reason").get<std::string>() : "route " + route)
              << "\n";
    for (const nlohmann::json &service : preview.at("services")) {
        printService(service);
    }
}

} // namespace

ExitStatus runRouteCommand(const CommandLine &line)
{
    const HostAddress gateway = parseHostAddress(line.words[0]);
    if (gateway.port == 0) {
        std::cerr << "cassiaroad: " << line.words[0] << " is not IP:PORT\n";
        return ExitStatus::Usage;
    }
    HttpRequest request { "GET",
                          routePreviewPath,
                          { { routeHostHeader, line.words[1] },
                            { routePathHeader, line.words[2] } },
                          {} };
    if (line.words.size() > 3) {
        request.headers.emplace_back(routeKeyHeader, line.words[3]);
    }
    EventLoop loop;
    HttpClient client(loop);
    const HttpResult result
            = sendAndWait(loop, client, gateway, request, maxResponseBytes, responseTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->status != statusOk) {
        std::cerr << "cassiaroad: " << line.words[0] << ": "
                  << (response == nullptr ? std::get<HttpFailure>(result).reason
                                          : "status " + std::to_string(response->status))
                  << "\n";
        return ExitStatus::Failed;
    }
    if (line.json) {
        std::cout << response->body << "\n";
        return ExitStatus::Done;
    }
    try {
        print(nlohmann::json::parse(response->body));
    } catch (const nlohmann::json::exception &) {
        std::cerr << "cassiaroad: " << line.words[0] << ": the answer is of another version\n";
        return ExitStatus::Failed;
    }
    return ExitStatus::Done;
}

} // namespace cassiaroad
