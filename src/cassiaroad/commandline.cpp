#include "cassiaroad/commandline.h"

#include "process/parsenumber.h"

#include <sstream>

#include <getopt.h>

namespace cassiaroad {

namespace {

enum OptionCode : int { Who = 256, Why, Text, Number, Limit, Json, Bootstrap };

const option allOptions[] = {
    { "config", required_argument, nullptr, 'c' },
    { "help", no_argument, nullptr, 'h' },
    { "who", required_argument, nullptr, Who },
    { "why", required_argument, nullptr, Why },
    { "text", required_argument, nullptr, Text },
    { "number", required_argument, nullptr, Number },
    { "limit", required_argument, nullptr, Limit },
    { "json", no_argument, nullptr, Json },
    { "bootstrap", no_argument, nullptr, Bootstrap },
};

/** Returns the options that @p syntax names, with the empty last entry that getopt_long needs. */
std::vector<option> optionsOf(const CommandSyntax &syntax)
{
    std::vector<option> options;
    std::istringstream names("config help " + syntax.options);
    for (std::string name; names >> name;) {
        for (const option &candidate : allOptions) {
            if (name == candidate.name) {
                options.push_back(candidate);
            }
        }
    }
    options.push_back({});
    return options;
}

bool readNumber(const std::string &text, std::uint64_t &value)
{
    value = parseNumber<std::uint64_t>(text).value_or(0);
    return value > 0;
}

/** Stores one option; returns an empty text, or why it is not valid. */
std::string store(CommandLine &line, int code, const std::string &value)
{
    switch (code) {
    case 'c':
        line.settingsFile = value;
        return {};
    case Who:
        line.who = value;
        return {};
    case Why:
        line.why = value;
        return {};
    case Text:
        line.text = value;
        return {};
    case Number:
        return readNumber(value, line.number) ? "" : "--number takes an integer from 1";
    case Limit:
        return readNumber(value, line.limit) ? "" : "--limit takes an integer from 1";
    case Json:
        line.json = true;
        return {};
    case Bootstrap:
        line.bootstrap = true;
        return {};
    default:
        return "unknown option or missing value";
    }
}

} // namespace

CommandLineResult parseCommandLine(const CommandSyntax &syntax, std::vector<std::string> arguments)
{
    std::string name = "cassiaroad";
    std::vector<char *> argv { name.data() };
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    const int argc = static_cast<int>(argv.size());
    argv.push_back(nullptr);
    const std::vector<option> options = optionsOf(syntax);
    CommandLine line;
    optind = 0; // makes getopt_long start anew, also after an earlier scan that stopped midway
    opterr = 0;
    for (int code = 0;
         (code = getopt_long(argc, argv.data(), "+c:h", options.data(), nullptr)) != -1;) {
        if (code == 'h') {
            return HelpRequested {};
        }
        const std::string reason = store(line, code, optarg == nullptr ? "" : optarg);
        if (!reason.empty()) {
            return UsageError { reason };
        }
    }
    line.words.assign(argv.begin() + optind, argv.begin() + argc);
    if (syntax.needsSettings && line.settingsFile.empty()) {
        return UsageError { "-c FILE is needed" };
    }
    if (line.words.size() < syntax.minWords || line.words.size() > syntax.maxWords) {
        return UsageError { "wrong number of arguments" };
    }
    return line;
}

} // namespace cassiaroad
