#include "cassiaroad/commandline.h"
#include "cassiaroad/controlprocess.h"
#include "cassiaroad/entryprocess.h"
#include "cassiaroad/explaincommand.h"
#include "cassiaroad/operatorcommands.h"
#include "cassiaroad/routecommand.h"
#include "cassiaroad/settingsfile.h"
#include "gateway/gatewayprocess.h"
#include "platform/platformcodec.h"
#include "process/log.h"
#include "registry/registryprocess.h"

#include <iostream>

using namespace cassiaroad;

namespace {

/** A sub-command with its syntax, help and implementation. */
struct SubCommand
{
    const char *name;
    CommandSyntax syntax;
    ExitStatus (*run)(const CommandLine &);
};

ExitStatus runEntry(const CommandLine &line)
{
    const std::optional<Settings> settings = loadSettings(line.settingsFile);
    if (!settings) {
        return ExitStatus::Failed;
    }
    if (!std::holds_alternative<EntrySettings>(settings->role)) {
        std::cerr << "cassiaroad: host.role is not entry in " << line.settingsFile << "\n";
        return ExitStatus::Failed;
    }
    Log::configure(false);
    return static_cast<ExitStatus>(runEntryProcess(*settings));
}

ExitStatus runControl(const CommandLine &line)
{
    const std::optional<Settings> settings = loadSettings(line.settingsFile);
    if (!settings) {
        return ExitStatus::Failed;
    }
    if (!std::holds_alternative<ControlSettings>(settings->role)) {
        std::cerr << "cassiaroad: host.role is not control in " << line.settingsFile << "\n";
        return ExitStatus::Failed;
    }
    Log::configure(false);
    return static_cast<ExitStatus>(runControlProcess(*settings, line.bootstrap));
}

std::optional<SiteSettings> loadSiteSettings(const std::string &file)
{
    auto result = readSiteSettings(file);
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&result)) {
        for (const SettingsError &error : *errors) {
            std::cerr << error.toString() << "\n";
        }
        return std::nullopt;
    }
    return std::get<SiteSettings>(std::move(result));
}

ExitStatus runGateway(const CommandLine &line)
{
    const std::optional<SiteSettings> settings = loadSiteSettings(line.settingsFile);
    if (!settings || !std::holds_alternative<GatewaySettings>(settings->role)) {
        std::cerr << "cassiaroad: " << line.settingsFile << " does not describe a gateway\n";
        return ExitStatus::Failed;
    }
    Log::configureStructured();
    const PlatformCodec codec;
    return static_cast<ExitStatus>(runGatewayProcess(*settings, line.settingsFile, codec));
}

ExitStatus runRegistry(const CommandLine &line)
{
    const std::optional<SiteSettings> settings = loadSiteSettings(line.settingsFile);
    if (!settings || !std::holds_alternative<RegistrySettings>(settings->role)) {
        std::cerr << "cassiaroad: " << line.settingsFile << " does not describe a registry\n";
        return ExitStatus::Failed;
    }
    Log::configureStructured();
    const PlatformCodec codec;
    return static_cast<ExitStatus>(runRegistryProcess(*settings, line.settingsFile, codec));
}

ExitStatus runCheckConfig(const CommandLine &line)
{
    const std::string &file = line.words.front();
    if (!loadSettings(file)) {
        return ExitStatus::Failed;
    }
    std::cout << file << ": no errors\n";
    return ExitStatus::Done;
}

ExitStatus runVersion(const CommandLine & /*line*/)
{
    std::cout << "cassiaroad " << CASSIAROAD_VERSION << "\n";
    return ExitStatus::Done;
}

const SubCommand commands[] = {
    { "entry", { "", true, 0, 0, "entry -c FILE", "Runs an entry host." }, runEntry },
    { "control",
      { "bootstrap", true, 0, 0, "control -c FILE [--bootstrap]",
        "Runs a member of a control group. --bootstrap founds a new group and is used once, for "
        "the\n"
        "first member; without it an empty data folder joins the group." },
      runControl },
    { "gateway",
      { "", true, 0, 0, "gateway -c FILE",
        "Runs an entry host of a site whose upstreams hold key ranges." },
      runGateway },
    { "registry",
      { "", true, 0, 0, "registry -c FILE",
        "Runs a control host of a site whose upstreams hold key ranges." },
      runRegistry },
    { "intent",
      { "who why json", true, 1, 3, "intent -c FILE --who NAME --why TEXT [--json] INTENT",
        "Asks for a plan. INTENT is one of:\n"
        "  drain SERVICE/UPSTREAM, return SERVICE/UPSTREAM, move-key SERVICE/KEY UPSTREAM,\n"
        "  zone-out ZONE, zone-in ZONE, set NAME VALUE, rebalance SERVICE" },
      runIntentCommand },
    { "plan",
      { "json", true, 1, 1, "plan -c FILE [--json] PLAN", "Shows a plan." },
      runPlanCommand },
    { "confirm",
      { "who number json", true, 1, 1, "confirm -c FILE --who NAME --number N [--json] PLAN",
        "Confirms a plan. The same name, number and plan always give the first result." },
      runConfirmCommand },
    { "record",
      { "who text limit json", true, 0, 0,
        "record -c FILE [--who NAME] [--text TEXT] [--limit N] [--json]",
        "Searches the record of plans and confirmations, latest first." },
      runRecordCommand },
    { "status",
      { "json", true, 0, 0, "status -c FILE [--json]", "Shows the state of the control group." },
      runStatusCommand },
    { "check-config",
      { "", false, 1, 1, "check-config FILE", "Checks a settings file." },
      runCheckConfig },
    { "explain",
      { "", false, 1, 1000, "explain ID [FILE...]",
        "Prints the history of a request from the logs of gateways and registries (default: "
        "standard\n"
        "input)." },
      runExplainCommand },
    { "route",
      { "json", false, 3, 4, "route [--json] GATEWAY HOST PATH [KEY]",
        "Asks a gateway (IP:PORT of its readiness listener) where a request would go now, and "
        "why.\n"
        "Sends no request." },
      runRouteCommand },
    { "version", { "", false, 0, 0, "version", "Prints the version." }, runVersion },
};

void printOverview(std::ostream &out)
{
    out << "usage: cassiaroad COMMAND [OPTIONS]; COMMAND --help describes a command\n";
    for (const SubCommand &command : commands) {
        out << "  cassiaroad " << command.syntax.usage << "\n";
    }
}

ExitStatus runCommand(const SubCommand &command, std::vector<std::string> arguments)
{
    const CommandLineResult result = parseCommandLine(command.syntax, std::move(arguments));
    if (std::holds_alternative<HelpRequested>(result)) {
        std::cout << "usage: cassiaroad " << command.syntax.usage << "\n\n"
                  << command.syntax.help
                  << "\nExit status: 0 done, 1 refused or failed, 2 usage.\n";
        return ExitStatus::Done;
    }
    if (const auto *error = std::get_if<UsageError>(&result)) {
        std::cerr << "cassiaroad: " << error->reason << "\nusage: cassiaroad "
                  << command.syntax.usage << "\n";
        return ExitStatus::Usage;
    }
    return command.run(std::get<CommandLine>(result));
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
        printOverview(std::cout);
        return static_cast<int>(ExitStatus::Done);
    }
    for (const SubCommand &command : commands) {
        if (!arguments.empty() && arguments[0] == command.name) {
            return static_cast<int>(
                    runCommand(command, { arguments.begin() + 1, arguments.end() }));
        }
    }
    printOverview(std::cerr);
    return static_cast<int>(ExitStatus::Usage);
}
