#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Exit statuses of every sub-command. */
enum class ExitStatus : int { Done = 0, Failed = 1, Usage = 2 };

/** Options and words of one sub-command. */
struct CommandLine
{
    std::string settingsFile; // -c, --config
    std::string who;
    std::string why;
    std::string text;
    std::uint64_t number = 0;
    std::uint64_t limit = 100;
    bool json = false;
    bool bootstrap = false;
    std::vector<std::string> words; // after the options

    bool operator==(const CommandLine &) const = default;
};

/** What a sub-command takes. */
struct CommandForm
{
    std::string options; // names of its long options, separated by spaces
    bool needsSettings = true;
    std::size_t minWords = 0;
    std::size_t maxWords = 0;
    std::string usage; // after "usage: cassiaroad "
    std::string help; // sentences below the usage
};

/** The command line asks for the help text. */
struct HelpRequested
{
    bool operator==(const HelpRequested &) const = default;
};

/** The command line does not fit; a sentence. */
struct UsageError
{
    std::string reason;

    bool operator==(const UsageError &) const = default;
};

using CommandLineResult = std::variant<CommandLine, HelpRequested, UsageError>;

/** Parses what follows the name of a sub-command. Not thread-safe (getopt_long). */
CommandLineResult parseCommandLine(const CommandForm &form, std::vector<std::string> arguments);

} // namespace cassiaroad
