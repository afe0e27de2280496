// Network link emulator: TCP relays that can be delayed, limited in rate, cut, stalled and silenced
// by commands while they run.

#include "linecommands.h"
#include "relay.h"

#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <sstream>

#include <fnmatch.h>
#include <getopt.h>

using namespace cassiaroad;

namespace {

const char *const usage
        = "usage: link [--control IP:PORT]\n"
          "Commands on standard input and on the control port, one a line:\n"
          "  add NAME LISTEN TARGET [LATENCY-US [LINE]]   relay LISTEN to TARGET; port 0: any\n"
          "  rate LINE KBIT/S                             capacity of a line in each direction; 0: "
          "no limit\n"
          "                                               (relays in the other direction: ~LINE)\n"
          "  latency PATTERN US                           one-way delay\n"
          "  cut PATTERN       refuse new connections and reset open ones\n"
          "  hold PATTERN      stop forwarding; bytes wait until heal\n"
          "  swallow PATTERN   drop bytes; these connections stay silent even after heal\n"
          "  silence PATTERN   drop the bytes of connections that are open now, not of new ones\n"
          "  heal PATTERN      forward again\n"
          "  count PATTERN     bytes to targets, bytes to clients, connections\n"
          "  quit\n"
          "PATTERN is a shell pattern of names.\n";

/** Capacity of a line in each direction; all relays that name the line share it. */
struct SharedLine
{
    LinkRate forward;
    LinkRate backward;
};

/** The relays of one process and the commands that change them. */
class Link
{
public:
    /** Runs one command and returns its reply, which starts with "ok" or "error". */
    std::string run(const std::string &commandLine)
    {
        std::istringstream words(commandLine);
        std::string command;
        words >> command;
        if (command == "add") {
            return this->add(words);
        }
        if (command == "rate") {
            return this->setRate(words);
        }
        if (command == "count") {
            return this->count(words);
        }
        if (command == "quit") {
            this->running = false;
            return "ok";
        }
        return this->change(command, words);
    }

    /** Forwards bytes and runs commands until the command "quit". */
    void serve(LineCommands &commands)
    {
        while (this->running) {
            std::vector<pollfd> polls;
            commands.addPolls(polls);
            LinkTime due = LinkTime::max();
            const LinkTime before = LinkClock::now();
            for (const auto &[name, relay] : this->relays) {
                relay->addPolls(polls, before);
                due = std::min(due,
                               relay->nextDue() <= before ? LinkTime::max() : relay->nextDue());
            }
            this->wait(polls, due, before);
            const LinkTime now = LinkClock::now();
            for (const auto &[name, relay] : this->relays) {
                relay->handle(polls, now);
            }
            commands.handle(polls);
        }
    }

private:
    static void wait(std::vector<pollfd> &polls, LinkTime due, LinkTime now)
    {
        timespec timeout { 1, 0 };
        if (due - now < std::chrono::seconds(1)) {
            timeout = { 0, std::chrono::nanoseconds(due - now).count() };
        }
        ppoll(polls.data(), polls.size(), &timeout, nullptr);
    }

    std::string add(std::istringstream &words)
    {
        std::string name;
        std::string listen;
        std::string target;
        std::int64_t latency = 0;
        std::string line;
        words >> name >> listen >> target >> latency >> line;
        const auto from = parseAddressOption(listen);
        const auto to = parseAddressOption(target);
        if (!from || !to || this->relays.contains(name)) {
            return "error: add needs a new name and two addresses";
        }
        const bool reverse = line.starts_with('~');
        SharedLine &shared = this->lines[line.empty() ? name : line.substr(reverse ? 1 : 0)];
        auto relay = std::make_unique<Relay>(name, *to, std::chrono::microseconds(latency),
                                             reverse ? shared.backward : shared.forward,
                                             reverse ? shared.forward : shared.backward);
        const std::uint16_t port = relay->listen(*from);
        if (port == 0) {
            return std::string("error: ") + std::strerror(errno);
        }
        this->relays.emplace(name, std::move(relay));
        return "ok " + std::to_string(port);
    }

    std::string setRate(std::istringstream &words)
    {
        std::string line;
        double kilobits = 0;
        if (!(words >> line >> kilobits) || kilobits < 0) {
            return "error: rate needs a line and a number";
        }
        const double bytes = kilobits * 1000 / 8;
        this->lines[line].forward.setBytesPerSecond(bytes);
        this->lines[line].backward.setBytesPerSecond(bytes);
        return "ok";
    }

    std::vector<Relay *> matching(const std::string &pattern) const
    {
        std::vector<Relay *> result;
        for (const auto &[name, relay] : this->relays) {
            if (fnmatch(pattern.c_str(), name.c_str(), 0) == 0) {
                result.push_back(relay.get());
            }
        }
        return result;
    }

    std::string count(std::istringstream &words) const
    {
        std::string pattern;
        words >> pattern;
        RelayCount sum;
        for (const Relay *relay : this->matching(pattern)) {
            sum.toTarget += relay->count().toTarget;
            sum.toClient += relay->count().toClient;
            sum.connections += relay->count().connections;
        }
        return "ok " + std::to_string(sum.toTarget) + " " + std::to_string(sum.toClient) + " "
               + std::to_string(sum.connections);
    }

    /** Changes the mode or the latency of the relays that match a pattern. */
    std::string change(const std::string &command, std::istringstream &words)
    {
        static const std::map<std::string, RelayMode> modes { { "cut", RelayMode::Cut },
                                                              { "hold", RelayMode::Stall },
                                                              { "swallow", RelayMode::Discard },
                                                              { "heal", RelayMode::Open } };
        std::string pattern;
        std::int64_t latency = 0;
        words >> pattern >> latency;
        const auto mode = modes.find(command);
        if (mode == modes.end() && command != "silence" && command != "latency") {
            return "error: no such command";
        }
        const std::vector<Relay *> changed = this->matching(pattern);
        for (Relay *relay : changed) {
            if (mode != modes.end()) {
                relay->setMode(mode->second);
            } else if (command == "silence") {
                relay->silenceConnections();
            } else {
                relay->setLatency(std::chrono::microseconds(latency));
            }
        }
        return "ok " + std::to_string(changed.size());
    }

    bool running = true;
    std::map<std::string, SharedLine> lines;
    std::map<std::string, std::unique_ptr<Relay>> relays;
};

} // namespace

int main(int argc, char **argv)
{
    const option options[]
            = { { "control", required_argument, nullptr, 'c' }, { nullptr, 0, nullptr, 0 } };
    std::optional<HostAddress> control;
    for (int name = getopt_long(argc, argv, "", options, nullptr); name != -1;
         name = getopt_long(argc, argv, "", options, nullptr)) {
        control = name == 'c' ? parseAddressOption(optarg) : std::nullopt;
        if (!control) {
            std::fputs(usage, stderr);
            return 2;
        }
    }
    signal(SIGPIPE, SIG_IGN);
    Link link;
    LineCommands commands([&link](const std::string &line) { return link.run(line); });
    if (control) {
        const std::uint16_t port = commands.listen(*control);
        if (port == 0) {
            std::perror("link: cannot listen on the control port");
            return 1;
        }
        std::printf("control %d\n", port);
        std::fflush(stdout);
    }
    commands.addStandardInput();
    link.serve(commands);
    return 0;
}
