#include "process/settingswatcher.h"

#include "process/storagefile.h"

#include <csignal>

namespace cassiaroad {

namespace {

constexpr Milliseconds checkInterval { 2000 };

std::string textOf(const std::string &file)
{
    const auto content = readWholeFile(file);
    const auto *text = std::get_if<std::string>(&content);
    return text != nullptr ? *text : std::string();
}

} // namespace

SettingsWatcher::SettingsWatcher(EventLoop &loop, std::string file, EventLog &log,
                                 std::function<void(const SiteSettings &)> onChanged)
    : file(std::move(file))
    , log(log)
    , onChanged(std::move(onChanged))
    , lastText(textOf(this->file))
{
    loop.onSignal(SIGHUP, [this] { this->check(); });
    this->timer = loop.callEvery(checkInterval, [this] { this->check(); });
}

void SettingsWatcher::check()
{
    const std::string text = textOf(this->file);
    if (!text.empty() && text != this->lastText) {
        this->lastText = text;
        this->reload(text);
    }
}

void SettingsWatcher::reload(const std::string &text)
{
    const auto result = parseSiteSettings(text, this->file);
    if (const auto *settings = std::get_if<SiteSettings>(&result)) {
        this->log.write({ "settings_reloaded", Event::Weight::Always, {} });
        this->onChanged(*settings);
        return;
    }
    const auto &errors = std::get<std::vector<SettingsError>>(result);
    this->log.write({ "settings_refused",
                      Event::Weight::Always,
                      { { "reason", errors.front().toString() } } });
}

} // namespace cassiaroad
