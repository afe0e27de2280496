#include "version/command.h"

#include "version/valuecodec.h"

namespace cassiaroad {

namespace {

constexpr int commandFormat = 1; // version of the encoding; decodeCommand() refuses others

} // namespace

std::string encodeCommand(const Command &command)
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json::array({ commandFormat, nlohmann::json(command) }),
                            bytes);
    return bytes;
}

std::optional<Command> decodeCommand(const std::string &bytes)
{
    try {
        const nlohmann::json json = nlohmann::json::from_cbor(bytes);
        if (json.at(0).get<int>() != commandFormat) {
            return std::nullopt;
        }
        return json.at(1).get<Command>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace cassiaroad
