#include "acaciaferry/reducer/fake_fleet.hpp"

#include <algorithm>
#include <variant>

namespace acaciaferry::test {
namespace {

constexpr std::size_t kVms = 3;

deployment MakeConfig() {
  deployment config;
  config.revision = 1;
  config.pools = {{.id = {"model"}, .kind = request_kind::kCompletion},
                  {.id = {"kiosk"}, .kind = request_kind::kServiceCall}};
  config.workloads = {{.id = {"short"},
                       .pool = {"model"},
                       .max_prompt_tokens = 1000,
                       .deadline = std::chrono::seconds(30)},
                      {.id = {"release"},
                       .pool = {"kiosk"},
                       .method = "POST",
                       .deadline = std::chrono::seconds(10),
                       .idempotent = false},
                      {.id = {"read"},
                       .pool = {"kiosk"},
                       .method = "GET",
                       .deadline = std::chrono::seconds(10)}};
  config.policy.retry_budget = 1;
  return config;
}

std::vector<vm_record> MakeVmList() {
  std::vector<vm_record> list;
  for (const char* const name : {"e1", "e2", "e3"}) {
    list.push_back({.name = name,
                    .address = name,
                    .role = vm_role::kEngine,
                    .pool = {"model"}});
  }
  for (const char* const name : {"s1", "s2", "s3"}) {
    list.push_back({.name = name,
                    .address = name,
                    .role = vm_role::kService,
                    .pool = {"kiosk"}});
  }
  return list;
}

// The answers of engine e3 differ from those of the others from the sixth byte
// on.
std::string AnswerOf(std::uint64_t fingerprint, const std::string& target) {
  const std::string base = "A" + std::to_string(fingerprint) + "-----";
  return base.substr(0, 5) + (target == "e3" ? "other" : "usual") + base;
}

std::string ExecutionKey(const std::string& operation, std::uint64_t body) {
  return operation + "/" + std::to_string(body);
}

}  // namespace

fake_fleet::fake_fleet(std::uint64_t seed) : random_(seed), vms_(kVms) {
  for (std::size_t i = 0; i < kVms; ++i) {
    Restart(i);
  }
}

std::uint64_t fake_fleet::RandomBelow(std::uint64_t bound) {
  return DrawBelow(random_, bound);
}

void fake_fleet::Restart(std::size_t index) {
  vm& each = vms_[index];
  each = {};
  each.incarnation = next_incarnation_++;
  each.state.self.vm = {"vm" + std::to_string(index)};
  each.state.self.incarnation = each.incarnation;
  each.state.operations.secret = "secret";
  for (auto& [id, entry] : calls_) {
    // The caller's connection breaks.
    entry.ended = entry.ended || entry.vm == index;
  }
  Apply(index, deployment_received{MakeConfig()});
  Apply(index, vm_list_received{MakeVmList()});
}

void fake_fleet::Apply(std::size_t index, const event& value) {
  const effects results = Reduce(vms_[index].state, value, now_);
  for (const effect& result : results) {
    std::visit([&](const auto& each) { Handle(index, each); }, result);
  }
}

void fake_fleet::Step() {
  switch (RandomBelow(16)) {
    case 0:
    case 1:
      return SendNewCall();
    case 2:
      now_ += std::chrono::milliseconds(RandomBelow(900));
      return Apply(RandomBelow(kVms), timer_expired{});
    case 3:
      return Gossip();
    case 4:
      DeliverForward();
      if (OneIn(12)) {
        ++situation_counts["restart"];
        Restart(RandomBelow(kVms));
      }
      return;
    case 5: {
      const std::pair link{RandomBelow(kVms), RandomBelow(kVms)};
      if (cut_links_.erase(link) == 0 && OneIn(2)) {
        cut_links_.insert(link);
      }
      return;
    }
    case 6:
      if (OneIn(40)) {
        Apply(RandomBelow(kVms), drain_requested{});
      }
      return;
    case 7:
    case 8:
    case 9:
    case 10:
    case 11:
      return DeliverEvent();
    default:
      return Transmit();
  }
}

void fake_fleet::Gossip() {
  const std::size_t about = RandomBelow(kVms);
  const std::size_t listener = RandomBelow(kVms);
  // The event may also be late and name an older incarnation.
  const std::uint64_t age = OneIn(4) ? 1 : 0;
  Apply(listener, peer_discovered{{"vm" + std::to_string(about)},
                                  vms_[about].incarnation - age,
                                  std::to_string(about)});
  Apply(listener, suspect_reports_received{LatestSuspectReports(
                      vms_[about].state.quarantine, 100, now_)});
}

void fake_fleet::LetDeadlinesPass() {
  while (!pending_forwards_.empty()) {
    DeliverForward();
  }
  for (int second = 0; second < 40; ++second) {
    now_ += std::chrono::seconds(1);
    for (std::size_t i = 0; i < kVms; ++i) {
      Apply(i, timer_expired{});
    }
  }
  // Requests in transit may arrive after all VMs have abandoned them.
  for (transmission& each : network_) {
    if (!each.completed && !each.executed) {
      Execute(each);
    }
  }
  for (const auto& [id, entry] : calls_) {
    if (!entry.ended) {
      violations.push_back("no reply to " + ToString(id));
    }
  }
}

void fake_fleet::SendNewCall() {
  const std::size_t index = RandomBelow(kVms);
  request fresh;
  call entry;
  const std::uint64_t kind = RandomBelow(4);
  entry.completion = kind == 0;
  entry.idempotent = kind < 2;
  if (entry.completion) {
    fresh.pool = {"model"};
    fresh.prompt_tokens = 10;
  } else {
    fresh.kind = request_kind::kServiceCall;
    fresh.pool = {"kiosk"};
    fresh.method = entry.idempotent ? "GET" : "POST";
  }
  fresh.fingerprint = RandomBelow(20);
  if (!entry.idempotent) {
    fresh.fingerprint = OneIn(6) ? 101 : 100;
    if (!keys_.empty() && OneIn(2)) {
      fresh.idempotency_key = keys_[RandomBelow(keys_.size())];
    } else if (!OneIn(4)) {
      state& minter = vms_[index].state;
      fresh.idempotency_key = MintKey(minter.operations, minter.self.vm,
                                      minter.self.incarnation, now_)
                                  ->text;
      keys_.push_back(fresh.idempotency_key);
    }
  }
  // A call with a fresh key often goes to another VM.
  Send(OneIn(2) ? RandomBelow(kVms) : index, std::move(fresh),
       std::move(entry));
}

void fake_fleet::Send(std::size_t index, request sent, call entry) {
  sent.id = {vms_[index].incarnation, next_sequence_++};
  entry.vm = index;
  entry.fingerprint = sent.fingerprint;
  entry.operation =
      sent.idempotency_key.empty() ? ToString(sent.id) : sent.idempotency_key;
  calls_[sent.id] = entry;
  requests_[sent.id] = sent;
  Apply(index, request_arrived{sent});
  if (OneIn(20)) {
    calls_[sent.id].ended = true;
    Apply(index, caller_disconnected{sent.id});
  }
}

void fake_fleet::DeliverEvent() {
  const std::size_t index = RandomBelow(kVms);
  std::vector<event>& pending_events = vms_[index].pending_events;
  if (pending_events.empty()) {
    return;
  }
  // The oldest event is the most likely one.
  const std::size_t at = OneIn(3) ? RandomBelow(pending_events.size()) : 0;
  const event value = pending_events[at];
  const bool duplicated = OneIn(8);
  if (!duplicated) {
    pending_events.erase(pending_events.begin() +
                         static_cast<std::ptrdiff_t>(at));
  }
  const bool lost = OneIn(25);
  if (!lost) {
    Apply(index, value);
  }
}

void fake_fleet::Transmit() {
  if (network_.empty()) {
    return;
  }
  // Mostly a recent one, sometimes one that was abandoned long ago.
  const std::size_t recent = std::min<std::size_t>(network_.size(), 12);
  const std::size_t at = OneIn(6) ? RandomBelow(network_.size())
                                  : network_.size() - 1 - RandomBelow(recent);
  transmission& each = network_[at];
  const attempt_id id = each.sent.attempt;
  const auto pass = [&](event value) { QueueEvent(each.vm, std::move(value)); };
  if (each.completed) {
    return;
  }
  if (each.executed) {
    return Answer(each);
  }
  switch (RandomBelow(8)) {
    case 0:
      each.completed = true;
      return pass(attempt_failed{id, transport_error::kConnectFailed});
    case 1:
      each.completed = true;
      pass(attempt_sent{id});
      return pass(attempt_rejected{id});
    case 2:
      // Sent, but lost before it is executed.
      each.completed = true;
      pass(attempt_sent{id});
      return pass(attempt_failed{id, transport_error::kConnectionLost});
    case 3:
      // The `attempt_sent` event is lost.
      return Execute(each);
    default:
      pass(attempt_sent{id});
      return Execute(each);
  }
}

void fake_fleet::Execute(transmission& each) {
  each.executed = true;
  const request_id id = each.sent.attempt.request;
  const call& entry = calls_.at(id);
  for (const std::string& name :
       {ToString(id), ExecutionKey(entry.operation, entry.fingerprint)}) {
    ++executions_[name];
    if (reported_not_run_.contains(name)) {
      violations.push_back("ran after not-run: " + name);
    }
  }
  const int runs = ++executions_[entry.operation + " in all"];
  if (!entry.idempotent && runs > 1) {
    violations.push_back("ran twice: " + entry.operation);
  }
}

void fake_fleet::Answer(transmission& each) {
  const attempt_id id = each.sent.attempt;
  const bool completion = each.sent.kind == request_kind::kCompletion;
  const std::string text =
      AnswerOf(calls_.at(id.request).fingerprint, each.sent.target.value);
  const auto pass = [&](event value) { QueueEvent(each.vm, std::move(value)); };
  pass(attempt_accepted{id, 200, "t"});
  if (completion && OneIn(3)) {
    return;
  }
  const std::size_t cut = RandomBelow(text.size() + 1);
  pass(answer_chunk{id, 0, text.substr(0, cut)});
  if (OneIn(3)) {
    each.completed = true;
    return pass(attempt_failed{id, transport_error::kConnectionLost});
  }
  each.completed = !OneIn(4);
  pass(answer_chunk{id, cut, text.substr(cut)});
  pass(answer_ended{id, text.size(), "stop"});
}

void fake_fleet::QueueEvent(std::size_t index, event value) {
  vms_[index].pending_events.push_back(std::move(value));
}

void fake_fleet::Handle(std::size_t index, const start_attempt& value) {
  if (value.attempt.number > 1) {
    ++situation_counts["retry"];
  }
  if (!value.forward) {
    network_.push_back({.vm = index, .sent = value});
    return;
  }
  const std::size_t owner = std::stoul(value.address);
  if (owner == index || cut_links_.contains({index, owner}) || OneIn(6)) {
    return QueueEvent(
        index, attempt_failed{value.attempt, transport_error::kConnectFailed});
  }
  ++situation_counts["forward"];
  QueueEvent(index, attempt_sent{value.attempt});
  request sent = requests_.at(value.attempt.request);
  call entry;
  entry.forwarded_for = value.attempt;
  entry.forwarded_by = index;
  sent.forwarded = true;
  pending_forwards_.push_back({owner, std::move(sent), std::move(entry)});
}

void fake_fleet::DeliverForward() {
  if (pending_forwards_.empty()) {
    return;
  }
  const auto at =
      pending_forwards_.begin() +
      static_cast<std::ptrdiff_t>(RandomBelow(pending_forwards_.size()));
  pending_forward arrived = std::move(*at);
  pending_forwards_.erase(at);
  Send(arrived.owner, std::move(arrived.sent), std::move(arrived.entry));
}

void fake_fleet::Handle(std::size_t index, const resume_attempt& value) {
  ++situation_counts["resume"];
  const auto running = std::find_if(
      network_.begin(), network_.end(), [&](const transmission& each) {
        return each.sent.attempt == value.attempt && each.executed;
      });
  if (running == network_.end() || OneIn(3)) {
    return QueueEvent(
        index, attempt_failed{value.attempt, transport_error::kUnknownStream,
                              value.connection_number});
  }
  const std::string text = AnswerOf(
      calls_.at(value.attempt.request).fingerprint, running->sent.target.value);
  QueueEvent(index, answer_chunk{value.attempt, value.offset,
                                 text.substr(value.offset)});
  QueueEvent(index, answer_ended{value.attempt, text.size(), "stop"});
}

fake_fleet::call* fake_fleet::Find(const request_id& id) {
  const auto found = calls_.find(id);
  const bool waits = found != calls_.end() && !found->second.ended;
  return waits ? &found->second : nullptr;
}

void fake_fleet::Handle(std::size_t /*index*/, const deliver_head& value) {
  if (call* const entry = Find(value.request)) {
    entry->head = value.result;
  }
}

void fake_fleet::Handle(std::size_t /*index*/, const deliver_chunk& value) {
  if (call* const entry = Find(value.request)) {
    entry->text += value.text;
  }
}

void fake_fleet::Handle(std::size_t /*index*/, const finish_request& value) {
  const call* const entry = Find(value.request);
  if (entry == nullptr) {
    return;
  }
  const auto is = [entry](const char* target) {
    return entry->text == AnswerOf(entry->fingerprint, target);
  };
  const bool whole = is("e1") || (entry->completion && is("e3"));
  if (entry->head == outcome::kRan && !whole) {
    violations.push_back("not a whole answer: " + entry->text);
  }
  End(value.request, entry->head, "answer");
}

void fake_fleet::Handle(std::size_t /*index*/, const fail_request& value) {
  if (Find(value.request) != nullptr) {
    End(value.request, value.reason.result,
        std::string(Describe(value.reason.code).code));
  }
}

void fake_fleet::End(const request_id& id,
                     outcome result,
                     const std::string& why) {
  call& entry = calls_.at(id);
  entry.ended = true;
  ++situation_counts[why + " " + std::string(ToString(result))];
  if (result == outcome::kNotRun) {
    CheckNotRun(entry, id, why);
  }
  if (result == outcome::kRan &&
      executions_[ExecutionKey(entry.operation, entry.fingerprint)] == 0) {
    violations.push_back("ran, but nothing ran: " + entry.operation);
  }
  if (!entry.forwarded_for || OneIn(6)) {
    return;
  }
  const attempt_id attempt = *entry.forwarded_for;
  const std::string text = why == "answer" ? entry.text : why;
  const auto pass = [&](event value) {
    QueueEvent(entry.forwarded_by, std::move(value));
  };
  pass(attempt_accepted{attempt, 200, "t", result});
  pass(answer_chunk{attempt, 0, text});
  pass(answer_ended{attempt, text.size(), "stop"});
}

void fake_fleet::CheckNotRun(const call& ended,
                             const request_id& id,
                             const std::string& why) {
  // A key covers every call that presents it; other requests are independent.
  const bool keyed = ended.operation != ToString(id);
  const std::string journal =
      keyed ? ExecutionKey(ended.operation, ended.fingerprint) : ToString(id);
  if (executions_[journal] > 0) {
    violations.push_back("not-run, but ran: " + why + " " + journal);
  }
  reported_not_run_.insert(journal);
}

}  // namespace acaciaferry::test
