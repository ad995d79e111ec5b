#include "platform_dialect.hpp"

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
      R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":16,"state":"draining","born":9})",
      2, false};
  return view;
}

net::request_head Request(net::header_fields fields,
                          const std::string& path = "/s/x?q=1") {
  fields.push_back({"Host", "h.example:80"});
  return {"POST", path, std::move(fields)};
}

struct fixture {
  std::unique_ptr<dialect> words = platform_adapter::MakeDialect();
  forwarding::routing_table table = *words->Decode(View(kConfiguration)).table;

  reading Read(const net::request_head& head) const {
    return words->Read(1, head, "body", table, 4);
  }
  failure_code Refused(const net::request_head& head) const {
    return std::get<unreadable_call>(Read(head)).why;
  }
};

net::header_fields Good() {
  return {
      {"Acaciaferry-Attempt-Id", "abc"}, {"Authorization", "Token key1"},
      {"Acaciaferry-Tenant", "forged"},  {"Acaciaferry-Token-Usage", "1460,80"},
      {"Acaciaferry-Length-Hint", "40"}, {"Acaciaferry-Deadline-Ms", "5000"},
      {"Last-Event-Id", "12"},           {"X-Other", "kept"}};
}

std::size_t Count(const net::header_fields& fields, std::string_view name) {
  std::size_t count = 0;
  for (const auto& field : fields) {
    count += net::EqualNames(field.name, name) ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_GROUP(PlatformDialect){};

// Guards against fields that are read as something else than they hold.
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

// Guards against a half-readable document that replaces a good one, and against
// a faulty entry that names a target.
TEST(PlatformDialect, FaultyDocumentsAreRefusedWhole) {
  const fixture platform;
  publication::view view =
      View(R"({"version":8,"routes":[{"host":5}],"services":[]})");
  view.items["servers/i-2"] = {
      R"({"service":"m","address":"x","slots":1,"state":"odd"})", 3, false};
  view.items["servers/i-3"] = {"\xff not json", 4, false};
  view.items["servers/i-4"] = {
      R"({"service":"m","address":7,"slots":1,"state":"ready"})", 5, false};
  const decoded_view decoded = platform.words->Decode(view);
  CHECK_FALSE(decoded.table.has_value());
  LONGS_EQUAL(1, decoded.targets.size());
  LONGS_EQUAL(4, decoded.faults.size());
  CHECK_TRUE(decoded.targets[0].state == forwarding::target_state::kLeaving);
  LONGS_EQUAL(9, decoded.targets[0].incarnation);
}

// Guards against what the caller claims of itself reaching a target, and
// against a key that is passed on.
TEST(PlatformDialect, ForwardsWithItsOwnFields) {
  const fixture platform;
  const auto call = std::get<readable_call>(platform.Read(Request(Good())));
  STRCMP_EQUAL("k", call.what.pool.value.c_str());
  LONGS_EQUAL(1'460, call.what.prompt_tokens);
  LONGS_EQUAL(40, call.what.output_tokens);
  LONGS_EQUAL(12, call.what.resume_after);
  LONGS_EQUAL(3, call.what.priority);
  CHECK_TRUE(call.what.time_limit == std::chrono::milliseconds(5'000));
  forwarding::send_attempt attempt;
  attempt.target.value = "i-1";
  attempt.time_left = std::chrono::milliseconds(4'000);
  attempt.helpers = {{{"i-2"}, "10.0.0.2:80", "t1"},
                     {{"i-3"}, "10.0.0.3:80", ""}};
  const auto head = platform.words->Attempt(call, attempt);
  STRCMP_EQUAL("/s/x?q=1", head.target.c_str());
  const auto value = [&](std::string_view name) {
    return std::string(net::Find(head.fields, name));
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

// Guards against proper requests that are refused, and improper ones that run.
TEST(PlatformDialect, RefusesWithTheRightReason) {
  const fixture platform;
  CHECK_TRUE(platform.Refused(Request(Good(), "/none/")) ==
             failure_code::kUnknownService);
  net::header_fields fields = Good();
  fields[1].value = "Token other";
  CHECK_TRUE(platform.Refused(Request(fields)) ==
             failure_code::kUnauthenticated);
  CHECK_TRUE(std::holds_alternative<readable_call>(
      platform.Read(Request(fields, "/p/x"))));
  fields = Good();
  fields.erase(fields.begin());
  CHECK_TRUE(platform.Refused(Request(fields)) ==
             failure_code::kMalformedRequest);
}

// Guards against answers of something else that are passed on as the target's.
TEST(PlatformDialect, JudgesAnswers) {
  using forwarding::response_verdict;
  const fixture platform;
  const auto call = std::get<readable_call>(platform.Read(Request(Good())));
  const auto judge = [&](int status, net::header_fields fields) {
    return platform.words->Judge(call, {status, std::move(fields)});
  };
  const net::header_field stamp{"Acaciaferry-Engine-Stamp", "s"};
  const net::header_field id{"Acaciaferry-Attempt-Id", "abc"};
  CHECK_TRUE(judge(200, {stamp, id}).verdict == response_verdict::kServed);
  CHECK_TRUE(judge(500, {stamp, id}).verdict == response_verdict::kFailed);
  CHECK_TRUE(judge(200, {id}).verdict == response_verdict::kUnusable);
  CHECK_TRUE(judge(200, {stamp, id, {"Content-Encoding", "gzip"}}).verdict ==
             response_verdict::kUnusable);
  CHECK_TRUE(judge(503, {{"Acaciaferry-Not-Executed", "1"}}).verdict ==
             response_verdict::kNotRun);
  CHECK_TRUE(judge(421, {{"At-Server", "10.0.0.9:1"}}).verdict ==
             response_verdict::kNotRun);
  CHECK_FALSE(judge(200, {stamp, {"Acaciaferry-Attempt-Id", "other"}}).is_ours);
  LONGS_EQUAL(
      2,
      judge(200, {stamp, {"Acaciaferry-Engine-Load", "3,2,8"}}).load->waiting);
  CHECK_FALSE(
      judge(200, {stamp, {"Acaciaferry-Engine-Load", "3,x"}}).load.has_value());
}

// Guards against a 4xx for a proper request that is in quarantine, and against
// a time to return that callers can't read.
TEST(PlatformDialect, WordsRefusals) {
  const fixture platform;
  const auto reply =
      platform.words->Refuse({failure_code::kQuarantined, outcome::kNotRun,
                              std::chrono::milliseconds(1'250)});
  LONGS_EQUAL(503, reply.status);
  STRCMP_EQUAL("1.250",
               std::string(net::Find(reply.fields, "Retry-After")).c_str());
}

// Guards against answers of the store that are taken for others.
TEST(PlatformDialect, DecodesAnswersOfTheStore) {
  const fixture platform;
  const auto page = platform.words->DecodePage(
      200,
      R"({"items":[{"key":"op/config","value":"djE=","revision":4}],"has_more":true,"store_revision":9})");
  const auto& got = std::get<publication::page>(page);
  STRCMP_EQUAL("v1", got.items[0].second.value.c_str());
  CHECK_TRUE(got.has_more);
  const auto changes = platform.words->DecodeChanges(
      200,
      R"({"events":[{"key":"a","value":"djE=","revision":4,"lease":777777777777777},{"key":"b","revision":5,"removed":true}],"store_revision":6})");
  LONGS_EQUAL(2, std::get<publication::changes>(changes).events.size());
  CHECK_FALSE(
      std::get<publication::changes>(changes).events[1].value.has_value());
  using publication::request_failure;
  const auto fault = [&](int status, std::string_view body) {
    return std::get<request_failure>(
        platform.words->DecodeChanges(status, body));
  };
  CHECK_TRUE(fault(410, "") == request_failure::kHistoryGone);
  CHECK_TRUE(fault(503, "") == request_failure::kRefused);
  CHECK_TRUE(fault(200, "{") == request_failure::kSilent);
}
