#include "cassiaroad/operatorformat.h"

#include <ctime>
#include <sstream>

namespace cassiaroad {

namespace {

using nlohmann::json;

constexpr std::size_t maxListedMoves = 20;
constexpr std::int64_t millisecondsPerSecond = 1000;

/** Formats a wall-clock time like "2026-12-04 09:00:00 UTC", and null as "-". */
std::string formatTime(const json &wallMilliseconds)
{
    if (!wallMilliseconds.is_number()) {
        return "-";
    }
    const std::time_t seconds = wallMilliseconds.get<std::int64_t>() / millisecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return { text, length };
}

std::string joined(const json &list)
{
    std::string text;
    for (const json &item : list) {
        text += (text.empty() ? "" : ", ") + item.get<std::string>();
    }
    return text;
}

std::string nameOr(const json &name, const std::string &fallback)
{
    const std::string text = name.get<std::string>();
    return text.empty() ? fallback : text;
}

std::string formatId(const json &id)
{
    return id.at("who").get<std::string>() + " number "
           + std::to_string(id.at("number").get<std::uint64_t>());
}

/** Formats an upstream like "orders/orders-1  etela-a  10.0.0.1:9001  up, 12 shards, 0 moved keys".
 */
std::string formatUpstream(const json &upstream)
{
    std::ostringstream out;
    out << upstream.at("service").get<std::string>() << "/"
        << upstream.at("name").get<std::string>() << "  " << upstream.at("zone").get<std::string>()
        << "  " << upstream.at("address").get<std::string>() << "  "
        << upstream.at("state").get<std::string>() << ", " << upstream.at("shards") << " shards, "
        << upstream.at("moved_keys") << " moved keys"
        << (upstream.at("drained").get<bool>() ? ", drained" : "")
        << (upstream.at("draining").get<bool>() ? ", draining" : "");
    return out.str();
}

} // namespace

std::string formatPlan(const json &plan)
{
    std::ostringstream out;
    out << "plan " << plan.at("plan") << ": " << plan.at("intent").get<std::string>() << "\n"
        << "  who: " << plan.at("who").get<std::string>() << "\n"
        << "  why: " << plan.at("why").get<std::string>() << "\n";
    if (plan.contains("state")) {
        out << "  state: " << plan.at("state").get<std::string>() << "\n";
    }
    const json &keys = plan.at("keys_moved");
    out << "  keys that change owner: " << (keys.at("exact").get<bool>() ? "" : "about ")
        << keys.at("keys") << " (" << keys.at("basis").get<std::string>() << ")\n";
    for (const json &span : plan.at("unreachable")) {
        out << "  unreachable: " << span.at("what").get<std::string>() << ", ";
        if (span.at("until_return").get<bool>()) {
            out << "until an upstream is back\n";
        } else {
            out << "about " << span.at("expected_ms") << " ms\n";
        }
    }
    const json &moves = plan.at("moves");
    out << "  moves: " << moves.size() << "\n";
    for (std::size_t i = 0; i < moves.size() && i < maxListedMoves; ++i) {
        out << "    " << moves[i].at("subject").get<std::string>() << ": "
            << nameOr(moves[i].at("from"), "nobody") << " -> "
            << nameOr(moves[i].at("to"), "nobody") << " ("
            << moves[i].at("reason").get<std::string>() << ")\n";
    }
    if (moves.size() > maxListedMoves) {
        out << "    and " << moves.size() - maxListedMoves << " more; --json lists all\n";
    }
    return out.str();
}

std::string formatConfirmation(const json &confirmation)
{
    std::ostringstream out;
    out << "plan " << confirmation.at("plan") << ", confirmation " << formatId(confirmation) << ": "
        << confirmation.at("status").get<std::string>() << "\n";
    if (!confirmation.at("detail").get<std::string>().empty()) {
        out << "  " << confirmation.at("detail").get<std::string>() << "\n";
    }
    if (confirmation.at("winner").is_object()) {
        out << "  accepted instead: " << formatId(confirmation.at("winner")) << "\n";
    }
    const json &report = confirmation.at("in_force");
    if (report.is_object()) {
        out << "  in force on " << report.at("hosts") << " of " << report.at("of_hosts")
            << " entry hosts";
        if (!report.at("missing").empty()) {
            out << "; without a lease and so routing nothing: " << joined(report.at("missing"));
        }
        out << "\n";
    }
    return out.str();
}

std::string formatRecord(const json &record)
{
    std::ostringstream out;
    for (const json &entry : record.at("record")) {
        out << "plan " << entry.at("plan") << "  " << formatTime(entry.at("created_wall_ms"))
            << "  " << entry.at("who").get<std::string>() << ": "
            << entry.at("intent").get<std::string>()
            << "\n  why: " << entry.at("why").get<std::string>() << "\n";
        if (entry.at("confirmation").is_object()) {
            out << "  confirmed by " << formatId(entry.at("confirmation")) << " at "
                << formatTime(entry.at("confirmed_wall_ms")) << ", in force at "
                << formatTime(entry.at("in_force_wall_ms")) << ", completed at "
                << formatTime(entry.at("completed_wall_ms")) << "\n";
        }
    }
    const std::string text = out.str();
    return text.empty() ? "no entries\n" : text;
}

std::string formatStatus(const json &status)
{
    std::ostringstream out;
    out << "group " << status.at("group").get<std::string>() << ", term " << status.at("term")
        << ", revision " << status.at("revision") << ", " << status.at("releasing")
        << " moves in progress, " << status.at("ledger_records") << " keyed requests kept\n";
    for (const json &member : status.at("members")) {
        out << "  member " << member.at("number") << "  " << member.at("zone").get<std::string>()
            << "  " << member.at("operators").get<std::string>() << "  "
            << (member.at("leader").get<bool>()  ? "leader"
                : member.at("voter").get<bool>() ? "follower"
                                                 : "no voter")
            << "\n";
    }
    for (const json &host : status.at("entry_hosts")) {
        out << "  entry host " << host.at("name").get<std::string>() << "  "
            << host.at("zone").get<std::string>() << "  has revision " << host.at("seen_revision")
            << "\n";
    }
    for (const json &upstream : status.at("upstreams")) {
        out << "  upstream " << formatUpstream(upstream) << "\n";
    }
    for (const auto &[name, value] : status.at("overrides").items()) {
        out << "  setting " << name << " = " << value.get<std::string>() << "\n";
    }
    return out.str();
}

} // namespace cassiaroad
