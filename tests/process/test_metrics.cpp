#include "process/metrics.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a metric that is listed twice, or that loses its value at a second look-up.
TEST(Metrics, keepsOneSeriesForEachNameAndLabels)
{
    Metrics metrics;
    metrics.counter("requests_total", "Requests.", { { "service", "orders" } }).Increment();
    metrics.counter("requests_total", "Requests.", { { "service", "orders" } }).Increment();
    metrics.counter("requests_total", "Requests.", { { "service", "proofs" } }).Increment();
    metrics.gauge("leader", "Whether this member leads.").Set(1);
    metrics.histogram("seconds", "Duration.", { 0.1, 1 }).Observe(0.5);
    const std::string text = metrics.text();
    EXPECT_NE(text.find("requests_total{service=\"orders\"} 2"), std::string::npos);
    EXPECT_NE(text.find("requests_total{service=\"proofs\"} 1"), std::string::npos);
    EXPECT_NE(text.find("leader 1"), std::string::npos);
    EXPECT_NE(text.find("seconds_bucket{le=\"1\"} 1"), std::string::npos);
    EXPECT_EQ(text.find("# TYPE requests_total"), text.rfind("# TYPE requests_total"));
}
