#include "process/sectionreader.h"

#include "process/parsenumber.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t minTokenLength = 8;
constexpr std::size_t maxTokenLength = 256;

const char *const nameRule = "1 to 64 characters of A-Z a-z 0-9 . _ -";
const char *const addressRule = "IPv4 address and port, as in 127.0.0.1:8080";
const char *const tokenRule = "a readable file that starts with a token of 8 to 256 printable "
                              "characters without blanks";

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                         || c == '.' || c == '_' || c == '-';
              });
}

bool isToken(const std::string &text)
{
    return text.size() >= minTokenLength && text.size() <= maxTokenLength
           && std::all_of(text.begin(), text.end(),
                          [](unsigned char c) { return c > ' ' && c < 127; });
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        const std::size_t first = part.find_first_not_of(" \t");
        const std::size_t last = part.find_last_not_of(" \t");
        parts.push_back(first == std::string::npos ? "" : part.substr(first, last - first + 1));
    }
    return parts;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string numberText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

SectionReader::SectionReader(std::string file, std::string name, const IniSection *section,
                             std::vector<SettingsError> &errors)
    : file(std::move(file))
    , sectionName(std::move(name))
    , section(section)
    , errors(errors)
{ }

const IniEntry *SectionReader::find(const std::string &key)
{
    this->known.insert(key);
    if (this->section == nullptr) {
        return nullptr;
    }
    for (const IniEntry &entry : this->section->entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

const IniEntry *SectionReader::require(const std::string &key, const std::string &allowed)
{
    const IniEntry *entry = this->find(key);
    if (entry == nullptr) {
        this->fail(key, allowed);
    }
    return entry;
}

void SectionReader::fail(const std::string &key, const std::string &allowed)
{
    const IniEntry *entry = this->find(key);
    const std::string fullKey = this->sectionName + "." + key;
    this->errors.push_back({ this->file, entry == nullptr ? 0 : entry->line, fullKey,
                             entry == nullptr ? "" : entry->value, allowed });
}

std::string SectionReader::name(const std::string &key)
{
    const IniEntry *entry = this->require(key, nameRule);
    if (entry == nullptr || isName(entry->value)) {
        return entry == nullptr ? "" : entry->value;
    }
    this->fail(key, nameRule);
    return {};
}

std::string SectionReader::nameOr(const std::string &key, const std::string &fallback)
{
    return this->find(key) != nullptr ? this->name(key) : fallback;
}

std::string SectionReader::choice(const std::string &key, const std::vector<std::string> &choices)
{
    const std::string allowed = "one of " + joined(choices);
    if (this->require(key, allowed) == nullptr) {
        return {};
    }
    return this->choiceOr(key, choices, {});
}

std::string SectionReader::choiceOr(const std::string &key, const std::vector<std::string> &choices,
                                    const std::string &fallback)
{
    const IniEntry *entry = this->find(key);
    if (entry == nullptr) {
        return fallback;
    }
    if (std::find(choices.begin(), choices.end(), entry->value) != choices.end()) {
        return entry->value;
    }
    this->fail(key, "one of " + joined(choices));
    return fallback;
}

std::vector<std::string> SectionReader::names(const std::string &key)
{
    const std::string allowed
            = std::string("a list of names separated by commas, each once; ") + nameRule;
    const IniEntry *entry = this->require(key, allowed);
    if (entry == nullptr) {
        return {};
    }
    std::vector<std::string> result = split(entry->value);
    std::vector<std::string> sorted = result;
    std::sort(sorted.begin(), sorted.end());
    const bool repeated = std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end();
    if (result.empty() || repeated || !std::all_of(result.begin(), result.end(), &isName)) {
        this->fail(key, allowed);
        return {};
    }
    return result;
}

std::optional<HostAddress> SectionReader::parseAddress(const std::string &text) const
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string ip = text.substr(0, colon);
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    in_addr parsed {};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || !port || *port == 0) {
        return std::nullopt;
    }
    return HostAddress { ip, *port };
}

HostAddress SectionReader::address(const std::string &key)
{
    const IniEntry *entry = this->require(key, addressRule);
    if (entry == nullptr) {
        return {};
    }
    const std::optional<HostAddress> address = this->parseAddress(entry->value);
    if (!address) {
        this->fail(key, addressRule);
    }
    return address.value_or(HostAddress {});
}

std::vector<HostAddress> SectionReader::addresses(const std::string &key)
{
    const std::string allowed = std::string("a list separated by commas; ") + addressRule;
    const IniEntry *entry = this->require(key, allowed);
    if (entry == nullptr) {
        return {};
    }
    std::vector<HostAddress> result;
    for (const std::string &part : split(entry->value)) {
        const std::optional<HostAddress> address = this->parseAddress(part);
        if (!address) {
            this->fail(key, allowed);
            return {};
        }
        result.push_back(*address);
    }
    if (result.empty()) {
        this->fail(key, allowed);
    }
    return result;
}

std::string SectionReader::path(const std::string &key)
{
    return this->require(key, "a path") == nullptr ? "" : this->pathOr(key, {});
}

std::string SectionReader::pathOr(const std::string &key, const std::string &fallback)
{
    const IniEntry *entry = this->find(key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value.empty()) {
        this->fail(key, "a path");
        return fallback;
    }
    return (std::filesystem::path(this->file).parent_path() / entry->value).string();
}

std::string SectionReader::tokenFile(const std::string &key)
{
    if (this->require(key, tokenRule) == nullptr) {
        return {};
    }
    std::ifstream stream(this->pathOr(key, {}));
    std::string token;
    std::getline(stream, token);
    if (!isToken(token)) {
        this->fail(key, tokenRule);
        return {};
    }
    return token;
}

std::int64_t SectionReader::integer(const std::string &key, std::int64_t minValue,
                                    std::int64_t maxValue)
{
    const std::string allowed
            = "integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue);
    return this->require(key, allowed) == nullptr
                   ? minValue
                   : this->integerOr(key, minValue, maxValue, minValue);
}

std::int64_t SectionReader::integerOr(const std::string &key, std::int64_t minValue,
                                      std::int64_t maxValue, std::int64_t fallback)
{
    const IniEntry *entry = this->find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<std::int64_t>(entry->value);
    if (value && *value >= minValue && *value <= maxValue) {
        return *value;
    }
    this->fail(key, "integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
    return fallback;
}

double SectionReader::numberOr(const std::string &key, double minValue, double maxValue,
                               double fallback)
{
    const IniEntry *entry = this->find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<double>(entry->value);
    if (value && *value >= minValue && *value <= maxValue) {
        return *value;
    }
    this->fail(key, "number from " + numberText(minValue) + " to " + numberText(maxValue));
    return fallback;
}

void SectionReader::finish()
{
    if (this->section == nullptr) {
        return;
    }
    std::set<std::string> seen;
    for (const IniEntry &entry : this->section->entries) {
        const std::string fullKey = this->sectionName + "." + entry.key;
        if (!this->known.contains(entry.key)) {
            const std::vector<std::string> keys(this->known.begin(), this->known.end());
            this->errors.push_back({ this->file, entry.line, fullKey, entry.value,
                                     "no such key; known keys are " + joined(keys) });
        } else if (!seen.insert(entry.key).second) {
            this->errors.push_back(
                    { this->file, entry.line, fullKey, entry.value, "each key once" });
        }
    }
}

} // namespace cassiaroad
