#include "platform_dialect.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

namespace {

const std::string kConfiguration = R"({"version":7,
  "routes":[{"name":"r1","host":"h.example","path_prefix":"/s/","kind":"streaming",
    "timeout_ms":9000,"target_latency_ms":300,"priority":1,
    "traffic_split":[{"service":"m","weight":0},{"service":"k","weight":5}],
    "max_attempts":2,"public":false,"resumable":true,"target_gap_ms":250},
    {"name":"r2","host":"h.example","path_prefix":"/p/","kind":"idempotent",
    "timeout_ms":1000,"target_latency_ms":100,"service":"k","max_attempts":1,"public":true}],
  "services":[{"name":"m","engine":{"slots":16,"kv_capacity":232000,"stride":43,
    "step_ms":1.02,"read_per_s":206000.0,"pairs_per_m":0.138,"usual":{"prompt":12327,"answer":1303}}},
    {"name":"k"}],
  "limits":{"header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"w","api_keys":["key1"],"priority":3}]})";

publication::view View(const std::string& configuration) {
  publication::view view;
  view.items["op/config"] = {configuration, 1, false};
  view.items["servers/i-1"] = {
      R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":16,"state":"draining","born":9,)"
      R"("version":"v1","cold_left_ms":0,"seq":1})",
      2, false};
  return view;
}

net::request_head Request(net::header_fields fields,
                          const std::string& path = "/s/x?q=1") {
  fields.push_back({"Host", "h.example:80"});
  return {"POST", path, std::move(fields)};
}

struct fixture {
  std::unique_ptr<dialect> protocol = platform_adapter::MakeDialect();
  forwarding::routing_table table =
      *protocol->DecodeDocuments(View(kConfiguration), 0).table;

  parse_result Parse(const net::request_head& head) const {
    return protocol->ParseRequest(1, head, "body", table, 4);
  }
  failure_code RefusalCode(const net::request_head& head) const {
    return std::get<rejected_request>(Parse(head)).code;
  }
};

net::header_fields ValidFields() {
  return {
      {"Acaciaferry-Attempt-Id", "abc"}, {"Authorization", "Token key1"},
      {"Acaciaferry-Tenant", "forged"},  {"Acaciaferry-Token-Usage", "1460,80"},
      {"Acaciaferry-Length-Hint", "40"}, {"Acaciaferry-Deadline-Ms", "5000"},
      {"Last-Event-Id", "12"},           {"X-Other", "kept"}};
}

std::size_t Count(const net::header_fields& fields, std::string_view name) {
  std::size_t count = 0;
  for (const auto& field : fields) {
    count += net::HeaderNamesEqual(field.name, name) ? 1 : 0;
  }
  return count;
}

// A value in a number of arrays.
std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Fields of an entry that decide nothing but have to be there.
const std::string kOtherFields =
    R"("zone":"a","version":"v1","cold_left_ms":0,"seq":1)";

std::string Entry(const std::string& service,
                  const std::string& address,
                  const std::string& slots,
                  const std::string& born) {
  return R"({"service":)" + service + R"(,"address":)" + address +
         R"(,"slots":)" + slots + R"(,"born":)" + born +
         R"(,"state":"ready",)" + kOtherFields + "}";
}

std::string Replaced(std::string text,
                     const std::string& before,
                     const std::string& after) {
  const std::size_t at = text.find(before);
  CHECK_TRUE(at != std::string::npos);
  return text.replace(at, before.size(), after);
}

// Numbers that are not whole or don't fit.
const std::vector<std::string> kOddNumbers{
    "1e400", "1e308", "-1",  "18446744073709551616", "1.5", "true", "null",
    "\"8\"", "-1e9",  "1e18"};

}  // namespace

TEST_GROUP(PlatformDialect){};

// Each configuration field must end up in the matching member.
TEST(PlatformDialect, DecodesTheConfiguration) {
  const fixture platform;
  LONGS_EQUAL(7, platform.table.version);
  LONGS_EQUAL(2, platform.table.RouteCount());
  LONGS_EQUAL(200, platform.table.limits.body_bytes);
  const auto& engine = *platform.table.pools[0].engine;
  DOUBLES_EQUAL(206, engine.prefill_tokens_per_ms, 1e-9);
  LONGS_EQUAL(232'000, engine.memory_tokens);
  CHECK_FALSE(platform.table.pools[1].engine.has_value());
}

// An invalid configuration must not replace a valid one, and an invalid entry
// must not produce a target.
TEST(PlatformDialect, RejectsInvalidDocumentsAsAWhole) {
  const fixture platform;
  publication::view view =
      View(R"({"version":8,"routes":[{"host":5}],"services":[]})");
  view.items["servers/i-2"] = {
      R"({"service":"m","address":"10.0.0.2:80","slots":1,"state":"odd",)" +
          kOtherFields + "}",
      3, false};
  view.items["servers/i-3"] = {"\xff not json", 4, false};
  view.items["servers/i-4"] = {
      R"({"service":"m","address":7,"slots":1,"state":"ready",)" +
          kOtherFields + "}",
      5, false};
  const decoded_view decoded = platform.protocol->DecodeDocuments(view, 0);
  CHECK_FALSE(decoded.table.has_value());
  LONGS_EQUAL(1, decoded.targets.size());
  LONGS_EQUAL(4, decoded.faults.size());
  CHECK_TRUE(decoded.targets[0].state == forwarding::target_state::kLeaving);
  LONGS_EQUAL(9, decoded.targets[0].incarnation);
}

// Values that the caller forges must not reach a target, and neither must its
// key.
TEST(PlatformDialect, OverwritesCallerFieldsWhenForwarding) {
  const fixture platform;
  const auto parsed =
      std::get<parsed_request>(platform.Parse(Request(ValidFields())));
  STRCMP_EQUAL("k", parsed.call.pool.value.c_str());
  LONGS_EQUAL(1'460, parsed.call.prompt_tokens);
  LONGS_EQUAL(40, parsed.call.output_tokens);
  LONGS_EQUAL(12, parsed.call.resume_after);
  LONGS_EQUAL(3, parsed.call.priority);
  CHECK_TRUE(parsed.call.time_limit == std::chrono::milliseconds(5'000));
  forwarding::send_attempt attempt;
  attempt.target.value = "i-1";
  attempt.time_left = std::chrono::milliseconds(4'000);
  attempt.helpers = {{{"i-2"}, "10.0.0.2:80", "t1"},
                     {{"i-3"}, "10.0.0.3:80", ""}};
  const auto head = platform.protocol->BuildAttemptHead(parsed, attempt);
  STRCMP_EQUAL("/s/x?q=1", head.target.c_str());
  const auto value = [&](std::string_view name) {
    return std::string(net::FindField(head.fields, name));
  };
  STRCMP_EQUAL("w", value("Acaciaferry-Tenant").c_str());
  LONGS_EQUAL(1, Count(head.fields, "Acaciaferry-Tenant"));
  LONGS_EQUAL(0, Count(head.fields, "Authorization"));
  STRCMP_EQUAL("abc", value("Acaciaferry-Attempt-Id").c_str());
  STRCMP_EQUAL("4000", value("Acaciaferry-Deadline-Ms").c_str());
  STRCMP_EQUAL("i-1", value("Acaciaferry-Expect-Instance").c_str());
  STRCMP_EQUAL("10.0.0.2:80/t1,10.0.0.3:80",
               value("Acaciaferry-Helpers").c_str());
  STRCMP_EQUAL("kept", value("X-Other").c_str());
  LONGS_EQUAL(0, Count(head.fields, "Last-Event-Id"));
}

// Valid requests must be accepted, and each invalid one rejected with its own
// code.
TEST(PlatformDialect, RejectsRequestsWithTheMatchingCode) {
  const fixture platform;
  CHECK_TRUE(platform.RefusalCode(Request(ValidFields(), "/none/")) ==
             failure_code::kUnknownService);
  net::header_fields fields = ValidFields();
  fields[1].value = "Token other";
  CHECK_TRUE(platform.RefusalCode(Request(fields)) ==
             failure_code::kUnauthenticated);
  CHECK_TRUE(std::holds_alternative<parsed_request>(
      platform.Parse(Request(fields, "/p/x"))));
  fields = ValidFields();
  fields.erase(fields.begin());
  CHECK_TRUE(platform.RefusalCode(Request(fields)) ==
             failure_code::kMalformedRequest);
}

// A response that does not come from the target or belongs to another request
// must not be forwarded.
TEST(PlatformDialect, ClassifiesResponses) {
  using forwarding::response_verdict;
  const fixture platform;
  const auto parsed =
      std::get<parsed_request>(platform.Parse(Request(ValidFields())));
  const auto classify = [&](int status, net::header_fields fields) {
    return platform.protocol->ClassifyResponse(parsed,
                                               {status, std::move(fields)});
  };
  const net::header_field stamp{"Acaciaferry-Engine-Stamp", "s"};
  const net::header_field id{"Acaciaferry-Attempt-Id", "abc"};
  CHECK_TRUE(classify(200, {stamp, id}).verdict == response_verdict::kServed);
  CHECK_TRUE(classify(500, {stamp, id}).verdict == response_verdict::kFailed);
  CHECK_TRUE(classify(200, {id}).verdict == response_verdict::kUnusable);
  CHECK_TRUE(classify(200, {stamp, id, {"Content-Encoding", "gzip"}}).verdict ==
             response_verdict::kUnusable);
  CHECK_TRUE(classify(503, {{"Acaciaferry-Not-Executed", "1"}}).verdict ==
             response_verdict::kNotRun);
  CHECK_TRUE(classify(421, {{"At-Server", "10.0.0.9:1"}}).verdict ==
             response_verdict::kNotRun);
  CHECK_FALSE(classify(200, {stamp, {"Acaciaferry-Attempt-Id", "other"}})
                  .matches_request);
  LONGS_EQUAL(2, classify(200, {stamp, {"Acaciaferry-Engine-Load", "3,2,8"}})
                     .load->waiting);
  CHECK_FALSE(classify(200, {stamp, {"Acaciaferry-Engine-Load", "3,x"}})
                  .load.has_value());
}

// Guards against a limit that is not read, or that ends with a response that
// says nothing of it.
TEST(PlatformDialect, ReadsLimitsOfTargets) {
  const fixture platform;
  const auto parsed =
      std::get<parsed_request>(platform.Parse(Request(ValidFields())));
  const auto limit_of = [&](int status, net::header_fields fields) {
    return platform.protocol
        ->ClassifyResponse(parsed, {status, std::move(fields)})
        .limit;
  };
  const net::header_field stamp{"Acaciaferry-Engine-Stamp", "s"};
  const net::header_field not_run{"Acaciaferry-Not-Executed", "1"};
  DOUBLES_EQUAL(
      1.9, *limit_of(200, {stamp, {"Server-Limit", "1.9"}})->requests_per_s, 0);
  DOUBLES_EQUAL(
      0, *limit_of(503, {not_run, {"server-limit", "0"}})->requests_per_s, 0);
  CHECK_FALSE(limit_of(200, {stamp})->requests_per_s.has_value());
  CHECK_FALSE(limit_of(503, {not_run}).has_value());
  CHECK_FALSE(limit_of(500, {stamp}).has_value());
  CHECK_FALSE(limit_of(421, {{"Server-Limit", "1"}}).has_value());
  for (const char* text : {"-1", "nan", "inf", "1e999", "1,5", "many"}) {
    CHECK_FALSE(limit_of(200, {stamp, {"Server-Limit", text}}).has_value());
  }
}

// Guards against a cold target whose response isn't read, and against one that
// is taken as cold by a value that doesn't say so, or by another process.
TEST(PlatformDialect, ReadsColdTimesOfTargets) {
  const fixture platform;
  const auto parsed =
      std::get<parsed_request>(platform.Parse(Request(ValidFields())));
  const auto cold_for = [&](int status, const std::string& text) {
    return platform.protocol
        ->ClassifyResponse(parsed, {status, {{"Acaciaferry-Cold-Ms", text}}})
        .cold_for;
  };
  for (const int status : {200, 404, 500, 503}) {
    CHECK_TRUE(cold_for(status, "1500") ==
               std::optional<duration>(std::chrono::milliseconds(1'500)));
  }
  CHECK_TRUE(cold_for(200, "0.5") ==
             std::optional<duration>(std::chrono::microseconds(500)));
  CHECK_TRUE(cold_for(200, "1e300") ==
             std::optional<duration>(std::chrono::hours(24)));
  CHECK_FALSE(cold_for(421, "1500").has_value());
  for (const char* text : {"", "0", "-1", "nan", "inf", "1e999", "1,5", "1s"}) {
    CHECK_FALSE(cold_for(200, text).has_value());
  }
}

// Guards against cold figures that end up in the wrong member, and against half
// of them, or odd ones, that limit targets.
TEST(PlatformDialect, DecodesWhatColdTargetsTake) {
  const fixture platform;
  const auto decode = [&](const std::string& figures) {
    return platform.protocol->DecodeDocuments(
        View(R"({"version":8,"routes":[],"services":[{"name":"m")" + figures +
             "}]}"),
        0);
  };
  const auto cold = decode(R"(,"cold_s":2.5,"cold_per_s":14)").table->pools[0];
  CHECK_TRUE(cold.cold.has_value());
  CHECK_TRUE(cold.cold->period == std::chrono::milliseconds(2'500));
  DOUBLES_EQUAL(14, cold.cold->requests_per_s, 0);
  for (const char* none :
       {"", R"(,"cold_s":3)", R"(,"cold_per_s":14)",
        R"(,"cold_s":0,"cold_per_s":14)", R"(,"cold_s":3,"cold_per_s":0)"}) {
    CHECK_FALSE(decode(none).table->pools[0].cold.has_value());
  }
  for (const char* odd :
       {R"(,"cold_s":-1,"cold_per_s":14)", R"(,"cold_s":3,"cold_per_s":-1)",
        R"(,"cold_s":"3","cold_per_s":14)", R"(,"cold_s":3,"cold_per_s":true)",
        R"(,"cold_s":null,"cold_per_s":14)"}) {
    CHECK_FALSE(decode(odd).table.has_value());
  }
}

// Guards against an entry whose cold time isn't read.
TEST(PlatformDialect, DecodesTheColdTimeOfATarget) {
  const fixture platform;
  publication::view view = View(kConfiguration);
  view.items["servers/i-2"] = {
      Replaced(Entry(R"("m")", R"("10.0.0.2:80")", "8", "5"),
               R"("cold_left_ms":0)", R"("cold_left_ms":1200)"),
      3, false};
  const auto targets = platform.protocol->DecodeDocuments(view, 0).targets;
  LONGS_EQUAL(2, targets.size());
  CHECK_TRUE(targets[0].cold_for == duration{});
  CHECK_TRUE(targets[1].cold_for == std::chrono::milliseconds(1'200));
}

// Guards against a target that is used although it says that it leaves or wants
// no requests, and against one that is lost by a value that says neither.
TEST(PlatformDialect, ReadsWhetherTargetsTakeRequests) {
  const fixture platform;
  const auto parsed =
      std::get<parsed_request>(platform.Parse(Request(ValidFields())));
  const auto read = [&](int status, net::header_fields fields) {
    const net::response_head head{status, std::move(fields)};
    const auto stated = platform.protocol->ReadAvailability(head);
    CHECK_TRUE(stated ==
               platform.protocol->ClassifyResponse(parsed, head).availability);
    return stated;
  };
  for (const int status : {200, 404, 500, 503}) {
    CHECK_TRUE(read(status, {{"server-leaving", "1"}}).leaving);
  }
  // Another process says nothing of the expected one.
  CHECK_FALSE(read(421, {{"Server-Leaving", "1"}}).leaving);
  for (const char* text : {"", "0", "2", "true", "11", "-1", "1,1"}) {
    CHECK_FALSE(read(200, {{"Server-Leaving", text}}).leaving);
  }
  CHECK_TRUE(read(503, {{"Retry-After", "2.5"}}).refuses_for ==
             std::chrono::milliseconds(2'500));
  CHECK_TRUE(read(503, {{"Retry-After", "7"}}).refuses_for ==
             std::chrono::seconds(7));
  CHECK_TRUE(read(503, {{"Retry-After", "1e18"}}).refuses_for ==
             std::chrono::hours(24));
  for (const char* text : {"", "0", "-3", "nan", "inf", "1e999", "1,5", "soon",
                           "3s", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CHECK_FALSE(read(503, {{"Retry-After", text}}).refuses_for.has_value());
  }
  for (const int status : {200, 421, 429, 500}) {
    CHECK_FALSE(read(status, {{"Retry-After", "2"}}).refuses_for.has_value());
  }
}

// A quarantined request must not get a 4xx status, and Retry-After must be in
// seconds.
TEST(PlatformDialect, BuildsLocalReplies) {
  const fixture platform;
  const auto reply = platform.protocol->BuildLocalReply(
      {failure_code::kQuarantined, outcome::kNotRun,
       std::chrono::milliseconds(1'250)});
  LONGS_EQUAL(503, reply.status);
  STRCMP_EQUAL(
      "1.250",
      std::string(net::FindField(reply.fields, "Retry-After")).c_str());
}

// Store responses, removals and failures must be told apart.
TEST(PlatformDialect, DecodesStoreResponses) {
  const fixture platform;
  const auto page = platform.protocol->DecodePage(
      200,
      R"({"items":[{"key":"op/config","value":"djE=","revision":4}],"has_more":true,"store_revision":9})");
  const auto& decoded = std::get<publication::page>(page);
  STRCMP_EQUAL("v1", decoded.items[0].second.value.c_str());
  CHECK_TRUE(decoded.has_more);
  const auto changes = platform.protocol->DecodeChanges(
      200,
      R"({"events":[{"key":"a","value":"djE=","revision":4,"lease":777777777777777},{"key":"b","revision":5,"removed":true}],"store_revision":6})");
  LONGS_EQUAL(2, std::get<publication::changes>(changes).events.size());
  CHECK_FALSE(
      std::get<publication::changes>(changes).events[1].value.has_value());
  using publication::request_failure;
  const auto failure_of = [&](int status, std::string_view body) {
    return std::get<request_failure>(
        platform.protocol->DecodeChanges(status, body));
  };
  CHECK_TRUE(failure_of(410, "") == request_failure::kHistoryGone);
  CHECK_TRUE(failure_of(503, "") == request_failure::kRefused);
  CHECK_TRUE(failure_of(200, "{") == request_failure::kSilent);
}

// Guards against blaming the part that belongs to one request alone, and
// against not recognizing a part among others.
TEST(PlatformDialect, SharedPartsOfAPromptAreAllButTheLast) {
  fixture platform;
  const auto parts_of = [&](const std::string& prefix) {
    auto fields = ValidFields();
    fields.push_back({"Acaciaferry-Prompt-Prefix", prefix});
    return std::get<parsed_request>(platform.Parse(Request(fields)))
        .call.shared_parts;
  };
  const auto parts = parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  LONGS_EQUAL(2, parts.size());
  CHECK_TRUE(parts[1] == parts_of("91bd3f06:9, 12ab:1").at(0));
  LONGS_EQUAL(0, parts_of("5c1e07a2:800").size());
  LONGS_EQUAL(0, parts_of("").size());
  LONGS_EQUAL(3, parts_of(",:,x,").size());
}

// Guards against decoding a long configuration with each change of a target,
// and against one that is not decoded although it is later.
TEST(PlatformDialect, OnlyLaterConfigurationsAreDecoded) {
  const fixture platform;
  const auto decode = [&](const std::string& value, std::uint64_t known) {
    return platform.protocol->DecodeDocuments(View(value), known);
  };
  CHECK_TRUE(decode(kConfiguration, 6).table.has_value());
  CHECK_FALSE(decode(kConfiguration, 7).table.has_value());
  CHECK_TRUE(decode(kConfiguration, 7).faults.empty());
  LONGS_EQUAL(1, decode("{}", 7).faults.size());
  LONGS_EQUAL(1, decode("no json", 7).faults.size());
}

// Guards against a listing from before the service came back from a copy: a
// watch from its revision would miss changes.
TEST(PlatformDialect, ListingsAreNeverStale) {
  const fixture platform;
  for (const char* after : {"", "servers/i-1"}) {
    const auto head = platform.protocol->BuildListRequest({"servers/", after});
    CHECK_TRUE(head.target.find("stale") == std::string::npos);
    CHECK_TRUE(head.target.find("path_prefix=servers/") != std::string::npos);
  }
}

// Guards against a VM that stops following the service because of one odd item,
// and against an earlier value that stays in use behind it.
TEST(PlatformDialect, AnOddItemHidesNoOthersOfItsResponse) {
  const fixture platform;
  struct odd_item {
    std::string text;
    // Whether its key and revision can be read.
    bool is_named{};
  };
  const std::vector<odd_item> odd{
      {R"({"key":"a","value":"d!E=","revision":4})", true},
      {R"({"key":"a","value":"djE","revision":4})", true},
      {R"({"key":"a","value":"\u0001","revision":4})", true},
      {"{\"key\":\"a\",\"value\":\"\xff\",\"revision\":4}", true},
      {R"({"key":"a","value":7,"revision":4})", true},
      {R"({"key":"a","revision":4})", true},
      {R"({"key":"a","revision":4,"value":)" + Nested(100'000) + "}", true},
      {"{\"key\":7,\"value\":\"djE=\",\"revision\":4}", false},
      {R"({"key":"a","value":"djE=","revision":-1})", false},
      {R"({"key":"a","value":"djE=","revision":1.5})", false},
      {R"({"key":"a","value":"djE=","revision":1e308})", false},
      {R"({"key":"a","value":"djE=","revision":18446744073709551616})", false},
      {R"({"key":"a","value":"djE="})", false},
      {"[]", false},
      {"null", false},
      {"\"x\"", false},
      {Nested(1'000'000), false}};
  for (const odd_item& each : odd) {
    const std::string list = R"(":[{"key":"b","value":"djE=","revision":3},)" +
                             each.text +
                             R"(,{"key":"c","value":"djI=","revision":5}]})";
    const std::size_t count = each.is_named ? 3 : 2;
    const auto decoded_page = platform.protocol->DecodePage(
        200, R"({"store_revision":9,"items)" + list);
    const auto* page = std::get_if<publication::page>(&decoded_page);
    CHECK_TRUE_TEXT(page != nullptr, each.text.substr(0, 200).c_str());
    LONGS_EQUAL(9, page->revision);
    LONGS_EQUAL(count, page->items.size());
    STRCMP_EQUAL("v1", page->items.front().second.value.c_str());
    STRCMP_EQUAL("v2", page->items.back().second.value.c_str());
    const auto decoded_changes = platform.protocol->DecodeChanges(
        200, R"({"store_revision":9,"events)" + list);
    const auto* changes = std::get_if<publication::changes>(&decoded_changes);
    CHECK_TRUE(changes != nullptr);
    LONGS_EQUAL(9, changes->revision);
    LONGS_EQUAL(count, changes->events.size());
    STRCMP_EQUAL("v2", changes->events.back().value->c_str());
    if (each.is_named) {
      STRCMP_EQUAL("", page->items[1].second.value.c_str());
      LONGS_EQUAL(4, page->items[1].second.revision);
      STRCMP_EQUAL("", changes->events[1].value->c_str());
    }
  }
}

// Guards against documents of an older copy that count as the newest ones.
TEST(PlatformDialect, RanksDocumentsByWhatTheirWriterStates) {
  const fixture platform;
  const auto ranks = platform.protocol->DocumentRanks();
  CHECK_TRUE(ranks.is_permanent("op/config"));
  CHECK_FALSE(ranks.is_permanent("servers/i-1"));
  LONGS_EQUAL(7, ranks.rank_of("op/config", kConfiguration).version);
  CHECK_TRUE(ranks.rank_of("op/config", "{}") == publication::document_rank{});
  const auto rank = [&](const std::string& state, int born) {
    return ranks.rank_of(
        "servers/i-1",
        R"({"service":"m","address":"10.0.0.1:1","slots":1,"state":")" + state +
            R"(","born":)" + std::to_string(born) + "," + kOtherFields + "}");
  };
  CHECK_TRUE(rank("draining", 5) > rank("ready", 5));
  CHECK_TRUE(rank("ready", 6) > rank("draining", 5));
  CHECK_TRUE(rank("odd", 9) < rank("ready", 5));
}

// Guards against a target that said that it leaves, and is expected back when
// its entry is removed.
TEST(PlatformDialect, ReadsFromADocumentWhetherItsTargetLeaves) {
  const fixture platform;
  const auto ranks = platform.protocol->DocumentRanks();
  const auto is_ending = [&](const std::string& key, const std::string& state) {
    return ranks.is_ending(
        key, R"({"service":"m","address":"10.0.0.1:1","slots":1,"state":")" +
                 state + R"(","born":5,)" + kOtherFields + "}");
  };
  CHECK_TRUE(is_ending("servers/i-1", "draining"));
  CHECK_FALSE(is_ending("servers/i-1", "ready"));
  CHECK_FALSE(ranks.is_ending("servers/i-1", "{}"));
  CHECK_FALSE(ranks.is_ending("op/config", kConfiguration));
}

// Guards against revisions that are compared although the service has come back
// from an older copy.
TEST(PlatformDialect, ReadsTheEraOfTheService) {
  const fixture platform;
  LONGS_EQUAL(3, platform.protocol->ServiceEra({410, {{"store-era", "3"}}}));
  LONGS_EQUAL(0, platform.protocol->ServiceEra({200, {}}));
  LONGS_EQUAL(0, platform.protocol->ServiceEra({200, {{"Store-Era", "x"}}}));
}

// Guards against a process that ends, or loses the other engines, because of
// one odd entry among them, and against an odd entry that is used.
TEST(PlatformDialect, AnOddEntryNamesNoTargetAndHidesNoOthers) {
  const fixture platform;
  const std::string address = R"("10.0.0.1:80")";
  std::vector<std::string> odd{
      "", "[]", "\"x\"", "null", "7", "\xff\xfe\x00", "{\"service\":\"m\"}"};
  for (const std::size_t levels : {100'000U, 1'000'000U}) {
    odd.push_back(Nested(levels));
    odd.emplace_back(levels, '[');
    odd.push_back(Entry(Nested(levels), address, "8", "1"));
    odd.push_back(Entry("\"m\"", address, Nested(levels), "1"));
    std::string objects;
    for (std::size_t i = 0; i < levels; ++i) {
      objects += R"({"slots":)";
    }
    odd.push_back(objects + "1" + std::string(levels, '}'));
  }
  for (const std::string& number : kOddNumbers) {
    odd.push_back(Entry("\"m\"", address, number, "1"));
    odd.push_back(Entry("\"m\"", address, "8", number));
  }
  odd.push_back(Entry("\"m\"", address, "4294967296", "1"));
  odd.push_back(Entry("\"m\"", address, "9223372036854775808", "1"));
  for (const char* text :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1",
        "10.0.0.1:", "10.0.0.1", ":80", "", "engine.example:80",
        "10.0.0.1:80,10.0.0.2:80", "10.0.0.1:80\\r\\nX: 1",
        "fe80::1%\\r\\nX: 1:80", "\xff\xfe:80"}) {
    odd.push_back(Entry("\"m\"", '"' + std::string(text) + '"', "8", "1"));
  }
  odd.push_back(Entry("\"\xff\"", address, "8", "1"));
  odd.push_back(Replaced(Entry("\"m\"", address, "8", "1"), "ready", "\xff"));
  odd.push_back(Replaced(Entry("\"m\"", address, "8", "1"), "ready", "gone"));
  const auto ranks = platform.protocol->DocumentRanks();
  for (const std::string& value : odd) {
    auto view = View(kConfiguration);
    view.items["servers/i-0"] = {value, 3, false};
    view.items["servers/i-2"] = {
        Entry("\"m\"", "\"10.0.0.2:80\"", "8", "18446744073709551615"), 4,
        false};
    const auto decoded = platform.protocol->DecodeDocuments(view, 0);
    CHECK_TRUE(decoded.table.has_value());
    LONGS_EQUAL_TEXT(2, decoded.targets.size(), value.substr(0, 200).c_str());
    LONGS_EQUAL(1, decoded.faults.size());
    CHECK_TRUE(ranks.rank_of("servers/i-0", value) ==
               publication::document_rank{});
  }
}

// Guards against an id that adds a field or a request to what is sent to its
// engine.
TEST(PlatformDialect, IdsWithOtherCharactersNameNoTarget) {
  const fixture platform;
  for (const char* key : {"servers/", "servers/i\r\nX: 1", "servers/i 1",
                          "servers/\xff", "servers/i\t"}) {
    auto view = View(kConfiguration);
    view.items[key] = {Entry("\"m\"", "\"10.0.0.2:80\"", "8", "1"), 3, false};
    const auto decoded = platform.protocol->DecodeDocuments(view, 0);
    LONGS_EQUAL(1, decoded.targets.size());
    LONGS_EQUAL(1, decoded.faults.size());
  }
}

// Guards against a process that ends because of an odd configuration, and
// against one in which odd numbers have become others.
TEST(PlatformDialect, AnOddConfigurationIsRefusedAsAWhole) {
  const fixture platform;
  std::vector<std::string> odd{"[]", "null", "\"x\"", "\xff"};
  const std::vector<std::string> values{
      "\"timeout_ms\":9000", "\"priority\":1",         "\"weight\":5",
      "\"max_attempts\":2",  "\"version\":7",          "\"slots\":16",
      "\"step_ms\":1.02",    "\"kv_capacity\":232000", "\"stride\":43",
      "\"header_bytes\":100"};
  for (const std::string& value : values) {
    const std::string name = value.substr(0, value.find(':') + 1);
    for (const char* number : {"1e400", "-1", "true", "\"8\"", "null"}) {
      odd.push_back(Replaced(kConfiguration, value, name + number));
    }
    odd.push_back(Replaced(kConfiguration, value, name + Nested(1'000'000)));
  }
  for (const char* name : {"\"routes\":", "\"services\":", "\"api_keys\":"}) {
    odd.push_back(
        Replaced(kConfiguration, name, name + Nested(1'000'000) + ",\"x\":"));
  }
  for (const char* count : {"\"priority\":1", "\"weight\":5", "\"slots\":16"}) {
    const std::string name(count, std::string_view(count).find(':') + 1);
    for (const char* number : {"4294967296", "1.5", "1e308"}) {
      odd.push_back(Replaced(kConfiguration, count, name + number));
    }
  }
  for (const std::string& value : odd) {
    const auto decoded = platform.protocol->DecodeDocuments(View(value), 0);
    CHECK_FALSE_TEXT(decoded.table.has_value(), value.substr(0, 900).c_str());
    LONGS_EQUAL(1, decoded.faults.size());
    LONGS_EQUAL(1, decoded.targets.size());
  }
}

// Guards against times that overflow when they are added to a time.
TEST(PlatformDialect, LongTimesAreCut) {
  const fixture platform;
  for (const char* number : {"9223372036854775807", "18446744073709551616",
                             "1e308", "9223372036854775"}) {
    const auto decoded = platform.protocol->DecodeDocuments(
        View(Replaced(kConfiguration, "\"timeout_ms\":9000",
                      std::string("\"timeout_ms\":") + number)),
        0);
    CHECK_TRUE(decoded.table->FindRoute("h.example", "/s/x")->timeout ==
               std::chrono::hours(24));
  }
}

// Guards against a process that ends because of a deeply nested response.
TEST(PlatformDialect, NestedResponsesAreReadOrRejected) {
  const fixture platform;
  for (const char* list : {"items", "events"}) {
    for (const std::string& nested :
         {Nested(1'000'000), "[" + Nested(1'000'000) + "]",
          R"([{"key":"a","revision":1,"value":)" + Nested(1'000'000) + "}]",
          std::string(1'000'000, '[')}) {
      const std::string body =
          R"({"store_revision":9,")" + std::string(list) + "\":" + nested + "}";
      static_cast<void>(platform.protocol->DecodePage(200, body));
      static_cast<void>(platform.protocol->DecodeChanges(200, body));
    }
  }
  CHECK_TRUE(std::holds_alternative<publication::request_failure>(
      platform.protocol->DecodePage(200, Nested(1'000'000))));
}

// Guards against a listing that fails each time, or goes on elsewhere, because
// a page ends with an odd key.
TEST(PlatformDialect, KeysAreEncodedInListings) {
  const fixture platform;
  const auto after = [&](const std::string& key) {
    const std::string target =
        platform.protocol->BuildListRequest({"servers/", key}).target;
    return target.substr(target.find("&after=") + 7);
  };
  STRCMP_EQUAL("servers/i-1.a_b~", after("servers/i-1.a_b~").c_str());
  STRCMP_EQUAL("servers/a%20b%26c%3D%25%2B%23",
               after("servers/a b&c=%+#").c_str());
  STRCMP_EQUAL("servers/%0D%0AX:%201%C3%A9",
               after("servers/\r\nX: 1\xc3\xa9").c_str());
}

// Guards against an entry of another writer that lacks fields, or has them of
// another type, and sends requests to an engine of another service. Found by
// the review as its case 3.
TEST(PlatformDialect, AnEntryWithoutANamedFieldNamesNoTarget) {
  const fixture platform;
  const auto targets_of = [&](const std::string& entry) {
    publication::view view = View(kConfiguration);
    view.items["servers/i-2"] = {entry, 3, false};
    return platform.protocol->DecodeDocuments(view, 0).targets.size();
  };
  const std::string sound = Entry(R"("m")", R"("10.0.0.2:80")", "8", "5");
  LONGS_EQUAL(2, targets_of(sound));
  for (const std::string field :
       {R"("zone":"a")", R"("version":"v1")", R"("cold_left_ms":0)",
        R"("seq":1)", R"("slots":8)", R"("state":"ready")"}) {
    const std::string name = field.substr(0, field.find(':') + 1);
    LONGS_EQUAL(1, targets_of(Replaced(sound, field, R"("other":1)")));
    for (const std::string odd : {"null", "true", "[]", "{}", "-1"}) {
      LONGS_EQUAL(1, targets_of(Replaced(sound, field, name + odd)));
    }
  }
  // Releases of engines that say more, or count in other ways, are sound.
  LONGS_EQUAL(2,
              targets_of(Replaced(sound, R"("cold_left_ms":0)",
                                  R"("cold_left_ms":12.5,"more":{"a":[]})")));
  LONGS_EQUAL(2, targets_of(Replaced(sound, R"("seq":1)",
                                     R"("seq":18446744073709551615)")));
}

// Guards against an odd entry that takes the place of what is known of a sound
// engine, which goes on under its own id.
TEST(PlatformDialect, AnOddEntryRanksBelowASoundOne) {
  const fixture platform;
  const auto ranks = platform.protocol->DocumentRanks();
  const std::string sound = Entry(R"("m")", R"("10.0.0.2:80")", "8", "5");
  const std::string odd = Replaced(sound, R"("seq":1)", R"("other":1)");
  CHECK_TRUE(ranks.rank_of("servers/i-2", odd) <
             ranks.rank_of("servers/i-2", sound));
}

// Guards against an order to evacuate that is not obeyed because of its value,
// or because an older copy of the documents lacks it, and against a key without
// a name that takes all targets out of service.
TEST(PlatformDialect, ThePresenceOfAKeyOrdersAnEvacuation) {
  const fixture platform;
  publication::view view = View(kConfiguration);
  view.items["op/evacuate/a"] = {"{}", 3, false};
  view.items["op/evacuate/b c/d"] = {"no JSON", 4, false};
  view.items["op/evacuate/gone"] = {"", 5, true};
  view.items["op/evacuate/"] = {"{}", 6, false};
  view.items["op/evacuated"] = {"{}", 7, false};
  const decoded_view decoded = platform.protocol->DecodeDocuments(view, 0);
  CHECK_TRUE((decoded.evacuated_domains ==
              std::vector<failure_domain_id>{{"a"}, {"b c/d"}, {"gone"}}));
  LONGS_EQUAL(1, decoded.faults.size());
  STRCMP_EQUAL("op/evacuate/", decoded.faults.front().key.c_str());
  CHECK_TRUE(decoded.table.has_value());
  LONGS_EQUAL(1, decoded.targets.size());
  const auto ranks = platform.protocol->DocumentRanks();
  CHECK_TRUE(ranks.outlives_copies("op/evacuate/a"));
  CHECK_FALSE(ranks.outlives_copies("op/config"));
  CHECK_FALSE(ranks.outlives_copies("servers/op/evacuate/a"));
  CHECK_FALSE(ranks.is_permanent("op/evacuate/a"));
}

// Guards against a VM that starts and does not learn of an evacuation, since
// its listings leave the key out.
TEST(PlatformDialect, ListingsHaveTheEvacuations) {
  const fixture platform;
  const auto prefixes = platform.protocol->DocumentPrefixes();
  LONGS_EQUAL(2, prefixes.size());
  for (const std::string key : {"servers/i-1", "op/config", "op/evacuate/a"}) {
    CHECK_TRUE(std::any_of(
        prefixes.begin(), prefixes.end(),
        [&](const std::string& each) { return key.starts_with(each); }));
  }
}
