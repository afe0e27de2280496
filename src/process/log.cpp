#include "process/log.h"

#include "process/pipeappender.h"

#include <unistd.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace cassiaroad {

namespace {

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    return root;
}

} // namespace

Log::Log(std::string prefix)
    : prefix(std::move(prefix) + ": ")
{ }

void Log::debug(const std::string &message) const
{
    LOG4CXX_DEBUG(logger(), this->prefix + message);
}

void Log::info(const std::string &message) const
{
    LOG4CXX_INFO(logger(), this->prefix + message);
}

void Log::warning(const std::string &message) const
{
    LOG4CXX_WARN(logger(), this->prefix + message);
}

void Log::error(const std::string &message) const
{
    LOG4CXX_ERROR(logger(), this->prefix + message);
}

void Log::configure(bool verbose)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
            LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setLevel(verbose ? log4cxx::Level::getDebug() : log4cxx::Level::getInfo());
}

void Log::configureStructured()
{
    const auto appender = std::make_shared<PipeAppender>(std::make_shared<log4cxx::JSONLayout>(),
                                                         STDOUT_FILENO);
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setLevel(log4cxx::Level::getInfo());
}

} // namespace cassiaroad
