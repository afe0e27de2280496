#include "platform/platformcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const PlatformCodec codec;

const std::string heartbeat
        = R"({"address":"10.128.0.9:8080","born":1781664962410,"info":{"service":"huvo11a",)"
          R"("version":"v1","zone":"mafraq","maxConcurrency":6},"status":{"state":"ready",)"
          R"("sequence":4,"warmupLeftS":1.5},"holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})";

const std::string document
        = R"({"version":"0000000c","routes":{"r-1":{"host":"ficu95.example",)"
          R"("pathPrefix":"/pufi791/","routeType":"unsafe","timeoutS":0.8,"targetLatencyS":0.4,)"
          R"("priority":1,"service":"huvo11a","attempts":2},"r-2":{"host":"ficu95.example",)"
          R"("pathPrefix":"/lohu930/","routeType":"safe","timeoutS":1.2,"targetLatencyS":0.3,)"
          R"("priority":2,"weightedServices":[{"service":"huvo11a","weight":90},)"
          R"({"service":"wuno96b","weight":10}],"attempts":2}},"services":{"huvo11a":)"
          R"({"healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,)"
          R"("sharded":true,"warmS":2.0,"grants":"heartbeat"},"wuno96b":{"healthPath":"/health",)"
          R"("maxConnections":110,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}})";

ControlCall heartbeatCall(const std::string &body)
{
    return codec.decodeCall({ "POST", "/-/Instances.Heartbeat/i-7f3a91c2", "", body });
}

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    text.replace(text.find(what), what.size(), with);
    return text;
}

bool isRefused(const std::string &body)
{
    return std::holds_alternative<MalformedCall>(heartbeatCall(body));
}

} // namespace

TEST(PlatformCodec, readsAHeartbeat)
{
    const ControlCall call = heartbeatCall(heartbeat);
    ASSERT_TRUE(std::holds_alternative<HeartbeatCall>(call));
    UpstreamReport expected;
    expected.incarnation = { "i-7f3a91c2", 1781664962410 };
    expected.service = "huvo11a";
    expected.address = { "10.128.0.9", 8080 };
    expected.zone = "mafraq";
    expected.slots = 6;
    expected.sequence = 4;
    expected.warmupLeft = { 1500 };
    expected.leases = { { { 0, 4095 }, 7, {} } };
    expected.releases = { { { 4096, 8191 }, "5c0e" } };
    EXPECT_EQ(std::get<HeartbeatCall>(call).report, expected);
}

// Guards against using an upstream whose heartbeat is malformed.
TEST(PlatformCodec, refusesMalformedHeartbeats)
{
    EXPECT_TRUE(isRefused(""));
    EXPECT_TRUE(isRefused("[]"));
    EXPECT_TRUE(isRefused(heartbeat.substr(0, 50)));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "1781664962410", "1.5")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "\"born\"", "\"bron\"")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "\"ready\"", "\"resting\"")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "\"ready\"", "7")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "\"huvo11a\"", "null")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, ":6}", ":\"6\"}")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "\"sequence\":4", "\"sequence\":-4")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "[0,4095,7]", "[0,70000,7]")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "[0,4095,7]", "[9,4,7]")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "10.128.0.9:8080", "nowhere")));
}

// Guards against a control host that ends with a stack overflow because it copies deeply nested
// holds, or that takes 310 MB of memory to parse 4 MB of brackets.
TEST(PlatformCodec, refusesDeeplyNestedDocuments)
{
    constexpr std::size_t depth = std::size_t(4) * 1024 * 1024;
    const std::string open(depth, '[');
    const std::string nested = open.substr(0, depth / 2) + std::string(depth / 2, ']');
    EXPECT_TRUE(isRefused(open));
    EXPECT_TRUE(isRefused(nested));
    for (const std::string &value : { nested.substr(depth / 2 - 400000, 800000),
                                      std::string(40, '[') + std::string(40, ']') }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, "[[0,4095,7]]", value)));
        EXPECT_TRUE(
                isRefused(replaced(heartbeat, "{\"address\"", "{\"x\":" + value + ",\"address\"")));
    }
    EXPECT_TRUE(isRefused(replaced(heartbeat, "{\"address\"",
                                   "{\"x\":[\"\\\"\"," + std::string(40, '[') + std::string(40, ']')
                                           + "],\"address\"")));
    // Brackets in a text do not nest.
    EXPECT_FALSE(isRefused(replaced(heartbeat, "5c0e", std::string(100, '[') + "\\\"")));
    for (const std::string &text : { open, nested }) {
        EXPECT_TRUE(std::holds_alternative<ConfigurationError>(codec.decodeConfiguration(text)));
        EXPECT_TRUE(std::holds_alternative<ConfigurationError>(codec.decodeConfiguration(
                replaced(document, "{\"version\"", "{\"x\":" + text + ",\"version\""))));
    }
}

// Guards against a control host that takes 690 MB of memory to parse 16 MiB of empty objects.
TEST(PlatformCodec, refusesDocumentsOfTooManyValues)
{
    const auto objects = [](std::size_t count) {
        std::string text = "[{}";
        for (std::size_t i = 1; i < count; ++i) {
            text += ",{}";
        }
        return text + "]";
    };
    const auto withField = [](const std::string &value) {
        return replaced(document, "{\"version\"", "{\"x\":" + value + ",\"version\"");
    };
    EXPECT_TRUE(std::holds_alternative<ConfigurationError>(
            codec.decodeConfiguration(withField(objects(1'000'000)))));
    EXPECT_TRUE(std::holds_alternative<SiteConfiguration>(
            codec.decodeConfiguration(withField(objects(200'000)))));
    // Commas and brackets in a text are no values.
    const std::string commas = "\"" + std::string(1'000'000, ',') + "\"";
    EXPECT_TRUE(std::holds_alternative<SiteConfiguration>(
            codec.decodeConfiguration(withField(commas))));
}

// Guards against fields that are cut to a narrower type or overflow, and so register an upstream
// with another size, life or address than the sender has. A later start time than the real one
// would also replace the real upstream.
TEST(PlatformCodec, refusesNumbersOutOfRange)
{
    for (const std::string born :
         { "18446744073709551615", "9223372036854775808", "9223372036854775807", "9007199254740993",
           "-1", "18446744073709551616", "1e300" }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, "1781664962410", born))) << born;
    }
    for (const std::string slots : { "0", "-1", "4294967296", "4294967297", "4294967295",
                                     "18446744073709551615", "18446744073709551616", "1e3" }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, ":6}", ":" + slots + "}"))) << slots;
    }
    for (const std::string number :
         { "18446744073709551615", "18446744073709551616", "9007199254740993", "1e3", "-1" }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, "\"sequence\":4", "\"sequence\":" + number)))
                << number;
        EXPECT_TRUE(isRefused(replaced(heartbeat, "[0,4095,7]", "[0,4095," + number + "]")))
                << number;
        EXPECT_TRUE(isRefused(replaced(heartbeat, "[0,4095,7]", "[0," + number + ",7]"))) << number;
        EXPECT_TRUE(isRefused(replaced(heartbeat, "[4096,8191", "[" + number + ",8191"))) << number;
    }
    for (const std::string seconds : { "1e9", "1e300", "1e400", "90000", "-1e9" }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, ":1.5}", ":" + seconds + "}"))) << seconds;
    }
}

// Guards against sending requests to another address than the sender has.
TEST(PlatformCodec, refusesMalformedAddresses)
{
    for (const std::string address :
         { "10.128.0.9:80x", "10.128.0.9:8080 ", "10.128.0.9:8080:", "10.128.0.9: 80",
           "10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9:", "10.128.0.9",
           ":8080", "10.128.0:8080", "10.128.0.9.1:8080", "host.example:8080",
           "10.128.0.9\\u0000:8080", "10.128.0.9\\r\\n:8080" }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, "10.128.0.9:8080", address))) << address;
    }
    EXPECT_FALSE(isRefused(replaced(heartbeat, "10.128.0.9:8080", "fd00::9:8080")));
}

// Guards against ids and texts in the replicated log, in headers and in log lines that are not
// valid UTF-8, have control characters or take megabytes.
TEST(PlatformCodec, refusesUnusableIdsAndTexts)
{
    const std::string huge(2000000, 'a');
    for (const std::string &id : { std::string(), std::string("\xff\xfe"), std::string("i-\xc3"),
                                   std::string("i-1\x7f"), huge, std::string(257, 'a') }) {
        const std::string path = "/-/Instances.Heartbeat/" + id;
        const ControlCall call = codec.decodeCall({ "POST", path, "", heartbeat });
        EXPECT_TRUE(std::holds_alternative<MalformedCall>(call)) << id.substr(0, 10);
    }
    for (const std::string &text :
         { std::string("\xff"), std::string("a\xc3"), huge, std::string("\\ud800"),
           std::string("a\\u0000b"), std::string("a\\r\\nb"), std::string(257, 'a') }) {
        EXPECT_TRUE(isRefused(replaced(heartbeat, "huvo11a", text))) << text.substr(0, 10);
        EXPECT_TRUE(isRefused(replaced(heartbeat, "mafraq", text))) << text.substr(0, 10);
    }
    EXPECT_TRUE(isRefused(replaced(heartbeat, "5c0e", "\xff")));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "5c0e", huge)));
    EXPECT_TRUE(isRefused(replaced(heartbeat, "5c0e", std::string(65537, 'a'))));
    EXPECT_FALSE(isRefused(replaced(heartbeat, "5c0e", std::string(65536, 'a'))));
    EXPECT_TRUE(isRefused(heartbeat + std::string(2000000, ' ')));
}

// Guards against log lines of megabytes that repeat what was received.
TEST(PlatformCodec, shortensTheReasonOfARefusal)
{
    const std::string huge(500000, 'a');
    for (const std::string &body : { replaced(heartbeat, "ready", huge), "\"" + huge, huge }) {
        const ControlCall call = heartbeatCall(body);
        ASSERT_TRUE(std::holds_alternative<MalformedCall>(call));
        EXPECT_LE(std::get<MalformedCall>(call).reason.size(), 300U);
    }
    for (const std::string &text : { replaced(document, "unsafe", huge), "\"" + huge }) {
        const auto decoded = codec.decodeConfiguration(text);
        ASSERT_TRUE(std::holds_alternative<ConfigurationError>(decoded));
        EXPECT_LE(std::get<ConfigurationError>(decoded).reason.size(), 300U);
    }
}

// Guards against a deregistration with an unreadable start time that ends the use of an upstream
// that has started anew since.
TEST(PlatformCodec, refusesMalformedDeregistrations)
{
    const auto leave = [](const std::string &id, const std::string &body) {
        return codec.decodeCall({ "POST", "/-/Instances.Deregister/" + id, "", body });
    };
    for (const std::string &body :
         { std::string("x"), std::string("[]"), std::string("null"), std::string("{\"born\":7"),
           std::string(R"({"born":"7"})"), std::string(R"({"born":7.5})"),
           std::string(R"({"born":-7})"), std::string(R"({"born":null})"),
           std::string(R"({"born":18446744073709551615})"),
           std::string(R"({"born":9223372036854775808})"),
           std::string(R"({"born":18446744073709551616})"), std::string("{\"\xff\":1}"),
           std::string(4UL * 1024 * 1024, '['), std::string(2000000, ' ') + "{}" }) {
        EXPECT_TRUE(std::holds_alternative<MalformedCall>(leave("i-1", body)))
                << body.substr(0, 40);
    }
    EXPECT_TRUE(std::holds_alternative<MalformedCall>(leave("", "{}")));
    EXPECT_TRUE(std::holds_alternative<MalformedCall>(leave("\xff", "{}")));
    // Without a start time it applies to whichever life the upstream has.
    for (const std::string body : { "", "{}" }) {
        const ControlCall call = leave("i-1", body);
        ASSERT_TRUE(std::holds_alternative<LeaveCall>(call));
        EXPECT_EQ(std::get<LeaveCall>(call).incarnation, (UpstreamIncarnation { "i-1", 0 }));
    }
}

// Guards against a configuration whose numbers are cut to a narrower type, or whose weights add up
// to infinity.
TEST(PlatformCodec, refusesConfigurationsWithNumbersOutOfRange)
{
    const auto isError = [](const std::string &text) {
        return std::holds_alternative<ConfigurationError>(codec.decodeConfiguration(text));
    };
    for (const std::string number : { "4294967296", "4294967297", "18446744073709551615", "-1" }) {
        EXPECT_TRUE(isError(replaced(document, "\"attempts\":2", "\"attempts\":" + number)));
        EXPECT_TRUE(isError(replaced(document, "\"priority\":1", "\"priority\":" + number)));
        EXPECT_TRUE(isError(
                replaced(document, "\"maxConnections\":110", "\"maxConnections\":" + number)));
    }
    EXPECT_TRUE(isError(replaced(document, "\"weight\":90", "\"weight\":1e308")));
    EXPECT_TRUE(isError(replaced(document, "\"weight\":90", "\"weight\":1e400")));
    EXPECT_TRUE(isError(replaced(document, "\"timeoutS\":0.8", "\"timeoutS\":1e300")));
    EXPECT_TRUE(isError(replaced(document, "ficu95.example", "\xff")));
}

TEST(PlatformCodec, encodesAHeartbeatResponse)
{
    HeartbeatResponse response;
    response.keyed = true;
    response.leases = { { { 0, 4095 }, 7, "" }, { { 9000, 9999 }, 12, "7a21" } };
    response.leaseDuration = { 4000 };
    response.nextAddress = { "10.0.0.4", 8166 };
    EXPECT_EQ(codec.encodeHeartbeatResponse(response),
              R"({"heartbeatUri":"10.0.0.4:8166","holdS":4.0,)"
              R"("holds":[[0,4095,7,""],[9000,9999,12,"7a21"]]})");
    EXPECT_EQ(codec.encodeHeartbeatResponse({}), "{}");
}

// Guards against an upstream whose keys nobody grants, since it takes them by calls.
TEST(PlatformCodec, encodesLeaseCalls)
{
    LeaseCall call;
    call.upstream = { "i-7f3a91c2", 5 };
    call.body = GrantCall { { { 4096, 8191 }, 12, "5c0e" }, { 3250 } };
    const EncodedLeaseCall grant = codec.encodeLeaseCall(call);
    EXPECT_EQ(grant.method, "POST");
    EXPECT_EQ(grant.path, "/-/grant");
    EXPECT_EQ(grant.body,
              R"({"fence":12,"from":4096,"handover":"5c0e","holdS":3.25,"targetVersion":8191})");
    EXPECT_EQ(grant.headers.back(), (std::pair<std::string, std::string> {
                                            "x-cassiaroad-expect-instance", "i-7f3a91c2" }));
    call.body = GrantCall { { { 4096, 8191 }, 12, "" }, { 3250 } };
    EXPECT_EQ(codec.encodeLeaseCall(call).body,
              R"({"fence":12,"from":4096,"holdS":3.25,"targetVersion":8191})");
    call.body = ReleaseCall { { 4096, 8191 }, 12 };
    const EncodedLeaseCall release = codec.encodeLeaseCall(call);
    EXPECT_EQ(release.path, "/-/release");
    EXPECT_EQ(release.body, R"({"fence":12,"from":4096,"targetVersion":8191})");
}

TEST(PlatformCodec, readsResponsesToLeaseCalls)
{
    EXPECT_EQ(codec.decodeLeaseCallResponse(200, "5c0e"),
              LeaseCallResult { LeaseCallAccepted { "5c0e" } });
    EXPECT_EQ(codec.decodeLeaseCallResponse(409, ""), LeaseCallResult { LeaseCallRefused {} });
    for (const int status : { 400, 404, 421, 500, 503, 204 }) {
        EXPECT_EQ(codec.decodeLeaseCallResponse(status, ""), LeaseCallResult { LeaseCallBroken {} })
                << status;
    }
}

// Guards against a handover of bytes that are no text, which ends the leader when it is encoded for
// the next owner: the release counts, without the handover.
TEST(PlatformCodec, dropsHandoversThatAreNoText)
{
    for (const std::string &handover : { std::string("\xff"), std::string("a\xc3"),
                                         std::string("a\tb"), std::string(65537, 'a') }) {
        const LeaseCallResult result = codec.decodeLeaseCallResponse(200, handover);
        ASSERT_EQ(result, LeaseCallResult { LeaseCallAccepted {} });
    }
    LeaseCall call;
    call.body = GrantCall { { { 0, 1 }, 2, std::string(1, '\xff') }, { 1000 } };
    EXPECT_NO_THROW(codec.encodeLeaseCall(call));
}

// Guards against a site that refuses its first configuration because of a kind of route or a way of
// granting keys that it does not know.
TEST(PlatformCodec, readsDownloadsAndServicesThatAreCalled)
{
    const auto decoded = codec.decodeConfiguration(
            replaced(replaced(document, "\"safe\"", "\"download\""), "\"grants\":\"heartbeat\"",
                     "\"grants\":\"call\""));
    ASSERT_TRUE(std::holds_alternative<SiteConfiguration>(decoded));
    const auto &configuration = std::get<SiteConfiguration>(decoded);
    EXPECT_EQ(configuration.routes.at("r-2").kind, RouteKind::Download);
    EXPECT_TRUE(isIdempotent(RouteKind::Download));
    EXPECT_EQ(configuration.services.at("huvo11a").leaseDelivery, LeaseDelivery::Call);
    EXPECT_EQ(configuration.services.at("wuno96b").leaseDelivery, LeaseDelivery::Heartbeat);
}

TEST(PlatformCodec, readsAConfiguration)
{
    const auto decoded = codec.decodeConfiguration(document);
    ASSERT_TRUE(std::holds_alternative<SiteConfiguration>(decoded));
    const auto &configuration = std::get<SiteConfiguration>(decoded);
    EXPECT_EQ(configuration.version, 12U);
    EXPECT_EQ(findConfigurationError(configuration), std::nullopt);
    const SiteRoute &route = configuration.routes.at("r-2");
    EXPECT_EQ(route.kind, RouteKind::Safe);
    EXPECT_EQ(route.timeout, Milliseconds { 1200 });
    EXPECT_EQ(route.targetLatency, Milliseconds { 300 });
    EXPECT_EQ(route.priority, 2U);
    EXPECT_EQ(route.attempts, 2U);
    EXPECT_EQ(route.services,
              (std::vector<WeightedService> { { "huvo11a", 90.0 }, { "wuno96b", 10.0 } }));
    EXPECT_TRUE(configuration.services.at("huvo11a").keyed);
    EXPECT_EQ(configuration.services.at("huvo11a").warmupDuration, Milliseconds { 2000 });
    EXPECT_FALSE(configuration.services.at("wuno96b").keyed);
    EXPECT_EQ(configuration.limits.idleTimeout, Milliseconds { 15000 });
}

// Guards against requests that leave the home regions of their route because these were not read.
TEST(PlatformCodec, readsHomeRegions)
{
    const auto homesWith = [](const std::string &field) {
        const auto decoded = codec.decodeConfiguration(
                replaced(document, "\"attempts\":2}", "\"attempts\":2," + field + "}"));
        const auto *configuration = std::get_if<SiteConfiguration>(&decoded);
        return configuration == nullptr ? std::optional<HomeRegions>()
                                        : configuration->routes.at("r-1").homes;
    };
    EXPECT_EQ(homesWith(R"("homeRegions":["tana"])"), HomeRegions({ "tana" }));
    EXPECT_EQ(homesWith(R"("homeRegions":["tana","awash"])"), HomeRegions({ "awash", "tana" }));
    EXPECT_EQ(homesWith(R"("homeRegions":[])"), HomeRegions());
    EXPECT_EQ(homesWith(R"("homeRegions":null)"), HomeRegions());
    EXPECT_EQ(homesWith(R"("homeRegions":"tana")"), std::nullopt);
    EXPECT_EQ(homesWith(R"("homeRegions":{"tana":true})"), std::nullopt);
    EXPECT_EQ(homesWith(R"("homeRegions":["tana",7])"), std::nullopt);
    EXPECT_EQ(homesWith(R"("homeRegions":[""])"), std::nullopt);
}

// Guards against a cold upstream that is sent more than its service states, or nothing, since the
// statement was not read or is absurd.
TEST(PlatformCodec, readsWhatColdUpstreamsCanHandle)
{
    const auto withCold = [](const std::string &text) {
        return codec.decodeConfiguration(replaced(document, "\"warmS\":2.0", text));
    };
    const auto decoded = withCold(R"("warmupS":3,"warmupPerS":5.5)");
    ASSERT_TRUE(std::holds_alternative<SiteConfiguration>(decoded));
    const SiteService &service = std::get<SiteConfiguration>(decoded).services.at("huvo11a");
    EXPECT_EQ(service.coldDuration, Milliseconds { 3000 });
    EXPECT_EQ(service.coldRate, 5.5);
    for (const std::string field : { "warmupS", "warmupPerS" }) {
        for (const std::string value : { "-1", "1e300", "null", "\"3\"" }) {
            const auto refused = withCold("\"" + field + "\":" + value);
            ASSERT_TRUE(std::holds_alternative<ConfigurationError>(refused)) << field << value;
            const std::string &reason = std::get<ConfigurationError>(refused).reason;
            EXPECT_NE(reason.find(field), std::string::npos) << reason;
        }
        EXPECT_TRUE(std::holds_alternative<ConfigurationError>(withCold("\"" + field + "\":NaN")));
        EXPECT_TRUE(
                std::holds_alternative<ConfigurationError>(withCold("\"" + field + "\":1e400")));
    }
}

// Guards against accepting a configuration that cannot be read completely.
TEST(PlatformCodec, refusesMalformedConfigurations)
{
    const auto isError = [](const std::string &text) {
        return std::holds_alternative<ConfigurationError>(codec.decodeConfiguration(text));
    };
    EXPECT_TRUE(isError(document.substr(0, document.size() - 1)));
    EXPECT_TRUE(isError(document + "}"));
    EXPECT_TRUE(isError(replaced(document, "\"unsafe\"", "\"sometimes\"")));
    EXPECT_TRUE(isError(replaced(document, "0000000c", "c")));
    EXPECT_TRUE(isError(replaced(document, "\"timeoutS\":0.8,", "")));
    EXPECT_TRUE(isError(replaced(document, "\"weight\":90", "\"weight\":\"90\"")));
    EXPECT_TRUE(isError("[]"));
}

TEST(PlatformCodec, decodesTheOtherCalls)
{
    const ControlCall put = codec.decodeCall({ "POST", "/-/Config.Put", "00000005", "x" });
    ASSERT_TRUE(std::holds_alternative<PutConfigurationCall>(put));
    EXPECT_EQ(std::get<PutConfigurationCall>(put).base, 5U);
    EXPECT_TRUE(std::holds_alternative<PutConfigurationCall>(
            codec.decodeCall({ "POST", "/-/Config.Put", "0", "x" })));
    EXPECT_TRUE(std::holds_alternative<MalformedCall>(
            codec.decodeCall({ "POST", "/-/Config.Put", "", "x" })));
    EXPECT_TRUE(std::holds_alternative<ReadConfigurationCall>(
            codec.decodeCall({ "GET", "/-/Config.Get", "", "" })));
    const ControlCall leave
            = codec.decodeCall({ "POST", "/-/Instances.Deregister/i-1", "", R"({"born":7})" });
    ASSERT_TRUE(std::holds_alternative<LeaveCall>(leave));
    EXPECT_EQ(std::get<LeaveCall>(leave).incarnation, (UpstreamIncarnation { "i-1", 7 }));
    EXPECT_TRUE(std::holds_alternative<UnknownCall>(codec.decodeCall({ "GET", "/", "", "" })));
}

// Guards against a body that crashes a control host.
RC_GTEST_PROP(PlatformCodec, survivesAnyBytes, (const std::string &body))
{
    (void)heartbeatCall(body);
    (void)codec.decodeConfiguration(body);
    (void)codec.decodeCall({ "POST", "/-/Instances.Deregister/i-1", body, body });
}

// Guards against a changed byte that crashes a control host or makes a field read as another one.
RC_GTEST_PROP(PlatformCodec, survivesAnyChangedByte, ())
{
    std::string changed = heartbeat;
    const auto position = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[position] = *rc::gen::arbitrary<char>();
    (void)heartbeatCall(changed);
    std::string configuration = document;
    configuration[*rc::gen::inRange<std::size_t>(0, configuration.size())]
            = *rc::gen::arbitrary<char>();
    (void)codec.decodeConfiguration(configuration);
}

// Guards against an operator's order that gets 404 instead of an acknowledgement, or that is read
// as its opposite.
TEST(PlatformCodec, readsOrdersToEvacuateAZone)
{
    const ControlCall start = codec.decodeCall({ "POST", "/-/Evacuation.Start/mafraq", "", "" });
    ASSERT_TRUE(std::holds_alternative<EvacuationCall>(start));
    EXPECT_EQ(std::get<EvacuationCall>(start).order, (EvacuationChange { "mafraq", true }));
    const ControlCall end = codec.decodeCall({ "POST", "/-/Evacuation.End/mafraq", "", "" });
    ASSERT_TRUE(std::holds_alternative<EvacuationCall>(end));
    EXPECT_EQ(std::get<EvacuationCall>(end).order, (EvacuationChange { "mafraq", false }));
}

// Guards against zones in the replicated log that no host can have.
TEST(PlatformCodec, refusesOrdersWithoutAUsableZone)
{
    for (const std::string &zone :
         { std::string(), std::string("a/b"), std::string("a\nb"), std::string(257, 'z') }) {
        for (const char *path : { "/-/Evacuation.Start/", "/-/Evacuation.End/" }) {
            const std::string whole = path + zone;
            EXPECT_TRUE(std::holds_alternative<MalformedCall>(
                    codec.decodeCall({ "POST", whole, "", "" })))
                    << whole;
        }
    }
    EXPECT_TRUE(std::holds_alternative<UnknownCall>(
            codec.decodeCall({ "GET", "/-/Evacuation.Start/a", "", "" })));
}

TEST(PlatformCodec, encodesTheReasonOfARefusal)
{
    EXPECT_EQ(codec.encodeRefusal("zone \"x\" is unknown"), R"({"error":"zone \"x\" is unknown"})");
}
