#include "version/configurationhistory.h"

#include "process/textdelta.h"
#include "process/textpack.h"

#include <utility>

namespace cassiaroad {

namespace {

// A gateway whose document is older receives the complete document.
constexpr std::size_t maxDocuments = 8;

} // namespace

void ConfigurationHistory::add(ConfigurationVersion version, std::string document)
{
    this->current = version;
    this->documents[version] = std::move(document);
    if (this->documents.size() > maxDocuments) {
        this->documents.erase(this->documents.begin());
    }
    this->deltas.clear();
}

void ConfigurationHistory::fill(GatewayUpdate &update, ConfigurationVersion known)
{
    update.version = this->current;
    if (known >= this->current) {
        return;
    }
    const auto base = this->documents.find(known);
    if (base == this->documents.end()) {
        update.document = this->documents.at(this->current);
        return;
    }
    const auto [delta, isNew] = this->deltas.try_emplace(known);
    if (isNew) {
        delta->second = textDelta(unpackText(base->second).value_or(""),
                                  unpackText(this->documents.at(this->current)).value_or(""));
    }
    update.documentBase = known;
    update.document = delta->second;
}

} // namespace cassiaroad
