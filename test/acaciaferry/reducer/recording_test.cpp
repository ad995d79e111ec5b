#include "acaciaferry/reducer/recording.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "acaciaferry/administration/explanation.hpp"
#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Recording) {
  state value;
  time_point now{std::chrono::hours(1)};

  void setup() override {
    value.self.incarnation = 9;
    deployment config;
    config.revision = 1;
    config.pools = {{.id = {"model"}, .kind = request_kind::kCompletion}};
    config.workloads = {{.id = {"short"},
                         .pool = {"model"},
                         .max_prompt_tokens = 1'000,
                         .deadline = seconds(60)}};
    static_cast<void>(Do(deployment_received{config}));
    vm_list_received list;
    for (const char* const name : {"e1", "e2", "e3"}) {
      list.vms.push_back({.name = name,
                          .address = name,
                          .role = vm_role::kEngine,
                          .pool = {"model"}});
    }
    static_cast<void>(Do(list));
  }

  effects Do(const event& happened) {
    return Reduce(value, happened, now);
  }

  effects Send(std::uint64_t sequence, const std::string& model) {
    request sent;
    sent.id = {9, sequence};
    sent.pool = {model};
    sent.prompt_tokens = 10;
    return Do(request_arrived{sent});
  }

  nlohmann::json Explain(std::uint64_t sequence) const {
    return ExplanationView(*FindHistory(value.history, {9, sequence}), now);
  }
};

// Guards against an explanation that leaves out a failed attempt, the target
// that answered, or a time.
TEST(Recording, ExplainsARetriedRequest) {
  static_cast<void>(Send(1, "model"));
  const target_id first = value.requests.at({9, 1}).current_attempt->target;
  now += milliseconds(5);
  static_cast<void>(
      Do(attempt_failed{{{9, 1}, 1}, transport_error::kConnectFailed}));
  const target_id second = value.requests.at({9, 1}).current_attempt->target;
  CHECK_EQUAL("running", Explain(1)["result"].get<std::string>());
  now += milliseconds(20);
  static_cast<void>(Do(answer_chunk{{{9, 1}, 2}, 0, "text"}));
  now += milliseconds(30);
  static_cast<void>(Do(answer_ended{{{9, 1}, 2}, 4, "stop"}));
  now += seconds(1);

  const nlohmann::json view = Explain(1);
  CHECK_EQUAL("answered", view["result"].get<std::string>());
  CHECK_EQUAL("admitted", view["admission"].get<std::string>());
  CHECK_EQUAL("short", view["workload"].get<std::string>());
  CHECK_EQUAL(25, view["first_part_ms"].get<double>());
  CHECK_EQUAL(55, view["ended_ms"].get<double>());
  CHECK_EQUAL(2, view["attempts"].size());
  const nlohmann::json& failed = view["attempts"][0];
  CHECK_EQUAL(first.value, failed["target"].get<std::string>());
  CHECK_EQUAL("connect_failed", failed["result"].get<std::string>());
  CHECK_EQUAL(5, failed["took_ms"].get<double>());
  const nlohmann::json& answered = view["attempts"][1];
  CHECK_EQUAL(second.value, answered["target"].get<std::string>());
  CHECK_EQUAL("answered", answered["result"].get<std::string>());
  CHECK_EQUAL(50, answered["took_ms"].get<double>());
  CHECK(answered.contains("predicted_first_token_ms"));
}

// Guards against a refusal without its reason, and against a history that keeps
// a name from the caller.
TEST(Recording, ExplainsARefusedRequest) {
  static_cast<void>(Send(1, "caller's text"));
  const nlohmann::json view = Explain(1);
  CHECK_EQUAL("refused", view["admission"].get<std::string>());
  CHECK_EQUAL("failed", view["result"].get<std::string>());
  CHECK_EQUAL("unknown_model", view["failure"]["code"].get<std::string>());
  CHECK_EQUAL("not-run", view["failure"]["outcome"].get<std::string>());
  CHECK_EQUAL(0, view["attempts"].size());
  CHECK_EQUAL(std::string::npos, view.dump().find("caller's text"));
}

// Guards against a request whose caller disconnected being shown as running.
TEST(Recording, RecordsACallerThatDisconnected) {
  static_cast<void>(Send(1, "model"));
  static_cast<void>(Do(caller_disconnected{{9, 1}}));
  const nlohmann::json view = Explain(1);
  CHECK_EQUAL("caller_gone", view["result"].get<std::string>());
  CHECK_EQUAL("given_up", view["attempts"][0]["result"].get<std::string>());
}

// Guards against a request that exceeded its deadline being shown as running.
TEST(Recording, RecordsAnExceededDeadline) {
  static_cast<void>(Send(1, "model"));
  now += seconds(61);
  static_cast<void>(Do(timer_expired{}));
  CHECK_EQUAL("deadline_exceeded",
              Explain(1)["failure"]["code"].get<std::string>());
}
