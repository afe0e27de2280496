#include "process/metrics.h"

#include <prometheus/text_serializer.h>

namespace cassiaroad {

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(this->registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                                  const Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(this->registry).Add(labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                                          const std::vector<double> &bounds, const Labels &labels)
{
    return prometheus::BuildHistogram()
            .Name(name)
            .Help(help)
            .Register(this->registry)
            .Add(labels, bounds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace cassiaroad
