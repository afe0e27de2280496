#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Exit statuses of every sub-command. */
enum class ExitStatus : int { Done = 0, Failed = 1, Usage = 2 };

/** Options and positional arguments of one sub-command. */
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
    std::vector<std::string> words; // positional arguments, after the options

    bool operator==(const CommandLine &) const = default;
};

/** Options and number of positional arguments that a sub-command accepts, and its help. */
struct CommandSyntax
{
    std::string options; // names of its long options, separated by spaces
    bool needsSettings = true; // -c FILE is required
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

/** The command line is not valid for the sub-command. The reason is a sentence. */
struct UsageError
{
    std::string reason;

    bool operator==(const UsageError &) const = default;
};

using CommandLineResult = std::variant<CommandLine, HelpRequested, UsageError>;

/** Parses the arguments after the name of a sub-command. Not thread-safe (getopt_long). */
CommandLineResult parseCommandLine(const CommandSyntax &syntax, std::vector<std::string> arguments);

} // namespace cassiaroad
