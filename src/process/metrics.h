#pragma once

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cassiaroad {

/** Metrics of one process. The returned references stay valid as long as this object. */
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    /** Content type of text(). */
    static constexpr const char *contentType = "text/plain; version=0.0.4; charset=utf-8";

    /** Returns the counter @p name with @p labels; creates it at the first call. */
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const Labels &labels = {});

    /** Returns the gauge @p name with @p labels; creates it at the first call. */
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const Labels &labels = {});

    /**
     * Returns the histogram @p name with @p labels; creates it at the first call. @p bounds are the
     * upper bounds of its buckets, ascending.
     */
    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const std::vector<double> &bounds, const Labels &labels = {});

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Registry registry;
};

} // namespace cassiaroad
