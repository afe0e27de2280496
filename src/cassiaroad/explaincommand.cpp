#include "cassiaroad/explaincommand.h"

#include "cassiaroad/requesthistory.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace cassiaroad {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

void readLines(std::istream &stream, std::vector<std::string> &lines)
{
    std::string line;
    while (std::getline(stream, line)) {
        lines.push_back(line);
    }
}

void printTime(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / millisecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::cout << std::put_time(&parts, "%Y-%m-%d %H:%M:%S") << '.' << std::setw(3)
              << std::setfill('0') << milliseconds % millisecondsPerSecond << std::setfill(' ');
}

} // namespace

ExitStatus runExplainCommand(const CommandLine &line)
{
    std::vector<std::string> lines;
    for (std::size_t i = 1; i < line.words.size(); ++i) {
        std::ifstream file(line.words[i]);
        if (!file) {
            std::cerr << "cassiaroad: cannot read " << line.words[i] << "\n";
            return ExitStatus::Failed;
        }
        readLines(file, lines);
    }
    if (line.words.size() == 1) {
        readLines(std::cin, lines);
    }
    const std::vector<LogLine> history = findRequestHistory(line.words.front(), lines);
    if (history.empty()) {
        std::cerr << "cassiaroad: request " << line.words.front()
                  << " is not in the logs; answered requests are only sampled\n";
        return ExitStatus::Failed;
    }
    for (const LogLine &entry : history) {
        printTime(entry.time);
        std::cout << "  " << std::left << std::setw(18) << entry.host << ' ' << std::setw(20)
                  << entry.event << std::right << ' ' << entry.fields << "\n";
    }
    return ExitStatus::Done;
}

} // namespace cassiaroad
