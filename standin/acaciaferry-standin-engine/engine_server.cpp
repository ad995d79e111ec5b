#include "engine_server.hpp"

#include <ostream>
#include <utility>

#include "acaciaferry/http/completion_body.hpp"
#include "acaciaferry/standin/answer.hpp"

namespace acaciaferry::standin {
namespace internal {

using nlohmann::json;

constexpr duration kIdleInterval = std::chrono::milliseconds(50);
constexpr duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr std::uint64_t kDefaultDeadlineMs = 600'000;
constexpr std::uint64_t kDefaultPriority = 5;
constexpr std::string_view kStreams = "/v1/streams/";
constexpr std::string_view kReservations = "/v1/reservations";
constexpr std::string_view kHoldings = "/v1/holdings";
constexpr std::string_view kKv = "/v1/kv/";
constexpr std::string_view kControl = "/control/";
constexpr std::string_view kSegmentPrefix = "kv-";

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string After(const std::string& path, std::string_view prefix) {
  std::string rest = path.substr(std::min(prefix.size(), path.size()));
  return rest.starts_with('/') ? rest.substr(1) : rest;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::string part;
  for (const char letter : text + ",") {
    if (letter == ',') {
      if (!part.empty()) {
        parts.push_back(std::exchange(part, {}));
      }
    } else if (letter != ' ') {
      part += letter;
    }
  }
  return parts;
}

stream_request MakeStreamRequest(const Poco::Net::HTTPServerRequest& http,
                                 const completion_body& body,
                                 time_point now) {
  const std::uint64_t estimated = EstimateTokens(body.prompt.size());
  const std::chrono::milliseconds left(
      NumberHeader(http, "Acaciaferry-Deadline-Ms", kDefaultDeadlineMs));
  return {.id = http.get("Acaciaferry-Stream-Id", ""),
          .owner = http.get("Acaciaferry-Owner", ""),
          .model = body.model,
          .deadline = now + left,
          .priority = static_cast<std::uint32_t>(
              NumberHeader(http, "Acaciaferry-Priority", kDefaultPriority)),
          .prompt_tokens =
              NumberHeader(http, "Acaciaferry-Prompt-Tokens", estimated),
          .prompt_hash = HashPrompt(body.prompt),
          .max_output_tokens = std::max<std::uint64_t>(body.max_tokens, 1),
          .blocks = HashPrefixBlocks(body.prompt),
          .span = SplitList(http.get("Acaciaferry-Span", ""))};
}

std::int64_t MillisecondsUntil(time_point end, time_point now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(end - now)
      .count();
}

json HoldingJson(const holding& value, time_point now) {
  return {{"id", value.id},
          {"kind", ToString(value.kind)},
          {"owner", value.owner},
          {"deadline_ms", value.deadline
                              ? json(MillisecondsUntil(*value.deadline, now))
                              : json(nullptr)},
          {"tokens", value.tokens}};
}

std::string Hex(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kBitsOfDigit = 4;
  constexpr int kBits = 64;
  std::string text;
  for (int shift = kBits - kBitsOfDigit; shift >= 0; shift -= kBitsOfDigit) {
    text += kDigits[(value >> static_cast<unsigned>(shift)) & 0xFU];
  }
  return text;
}

holding MakeHolding(const json& body,
                    std::string id,
                    holding_kind kind,
                    time_point now) {
  holding value{.id = std::move(id),
                .kind = kind,
                .owner = body.value("owner", ""),
                .tokens = body.value("tokens", std::uint64_t{})};
  if (body.contains("deadline_ms")) {
    value.deadline = now + std::chrono::milliseconds(
                               body["deadline_ms"].get<std::int64_t>());
  }
  if (body.contains("lease_ms")) {
    value.lease =
        std::chrono::milliseconds(body["lease_ms"].get<std::int64_t>());
    value.lease_end = now + value.lease;
  }
  return value;
}

order MakeOrder(const json& body) {
  const std::string action = body.at("action").get<std::string>();
  return {.fencing = body.value("fencing", std::uint64_t{}),
          .action = action == "load"     ? order_action::kLoad
                    : action == "unload" ? order_action::kUnload
                                         : order_action::kRole,
          .model = body.value("model", ""),
          .adapter = body.value("adapter", ""),
          .version = body.value("version", ""),
          .role = body.value("role", ""),
          .expired = body.value("expires_ms", std::int64_t{1}) <= 0};
}

struct refusal {
  int status{};
  std::string reason;
};

refusal DescribeRefusal(submit_verdict verdict) {
  switch (verdict) {
    case submit_verdict::kDuplicate:
      return {kConflict, "the stream id is in use"};
    case submit_verdict::kQueueFull:
      return {kTooManyRequests, "the waiting queue is full"};
    case submit_verdict::kNeverFits:
      return {kUnavailable, "the prompt exceeds the memory"};
    case submit_verdict::kUnknownReservation:
      return {kUnavailable, "no reservation of the span is held here"};
    case submit_verdict::kUnknownModel:
      return {kUnavailable, "the model is not loaded"};
    case submit_verdict::kAccepted:
      break;
  }
  return {kOk, ""};
}

}  // namespace internal

engine_server::engine_server(engine_parameters parameters)
    : faults_(clock_),
      core_(std::move(parameters)),
      reports_(engine_load{}),
      steps_([this] { RunSteps(); }) {}

engine_server::~engine_server() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  steps_.join();
}

void engine_server::SetLags(duration report_lag,
                            duration event_lag,
                            std::uint64_t loss_per_mille) {
  const std::lock_guard lock(mutex_);
  report_lag_ = report_lag;
  core_.CacheEvents().Configure(event_lag, loss_per_mille);
}

void engine_server::RunSteps() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    faults_.WaitWhilePaused();
    lock.lock();
    core_.Expire(clock_.Now());
    const auto step = core_.BeginStep(clock_.Now());
    if (!step) {
      changed_.wait_for(lock, internal::kIdleInterval);
      continue;
    }
    lock.unlock();
    std::this_thread::sleep_for(step->length);
    faults_.WaitWhilePaused();
    lock.lock();
    core_.FinishStep(*step, clock_.Now());
    changed_.notify_all();
  }
}

void engine_server::Handle(http_request& request, http_response& response) {
  const request_target target = ParseTarget(request);
  if (target.path.starts_with(internal::kControl)) {
    ServeControl(target, request, response);
    return;
  }
  const std::uint64_t mark = faults_.Mark();
  faults_.WaitWhilePaused();
  if (target.path == "/v1/completions" ||
      target.path == "/v1/chat/completions") {
    Complete(request, response);
  } else if (target.path.starts_with(internal::kStreams)) {
    ServeStreams(target, request, response);
  } else if (target.path == "/v1/load") {
    SendLoad(response);
  } else if (target.path == "/v1/cache/events") {
    SendCacheEvents(target, response);
  } else if (target.path.starts_with(internal::kReservations)) {
    ServeReservations(target, request, response);
  } else if (target.path.starts_with(internal::kHoldings)) {
    ServeHoldings(target, request, response);
  } else if (target.path.starts_with(internal::kKv)) {
    ServeKv(target, request, response);
  } else if (target.path == "/v1/orders") {
    ServeOrders(request, response);
  } else {
    SendJson(response, internal::kNotFound, {{"error", "unknown path"}});
  }
  if (faults_.IsSilent(mark)) {
    fault_switches::StaySilent(request);
  }
}

void engine_server::Complete(http_request& request, http_response& response) {
  const std::string text = ReadAll(request);
  const auto body = ParseCompletionBody(text);
  const std::string id = request.get("Acaciaferry-Stream-Id", "");
  if (!body || id.empty()) {
    SendJson(response, internal::kBadRequest,
             {{"error", "a completion and Acaciaferry-Stream-Id are needed"}});
    return;
  }
  submit_verdict verdict{};
  {
    const std::lock_guard lock(mutex_);
    if (!crash_marker_.empty() &&
        body->prompt.find(crash_marker_) != std::string::npos) {
      Die();
    }
    const time_point now = clock_.Now();
    verdict =
        core_.Submit(internal::MakeStreamRequest(request, *body, now), now);
    response.set("Acaciaferry-Load", LoadReport().dump());
  }
  if (verdict != submit_verdict::kAccepted) {
    const internal::refusal refusal = internal::DescribeRefusal(verdict);
    SendNotExecuted(response, refusal.status, refusal.reason);
    return;
  }
  changed_.notify_all();
  SendStream(id, 0, request, response);
}

void engine_server::ServeStreams(const request_target& target,
                                 http_request& request,
                                 http_response& response) {
  const std::string id = internal::After(target.path, internal::kStreams);
  bool known = false;
  if (request.getMethod() == "DELETE") {
    {
      const std::lock_guard lock(mutex_);
      known = core_.Cancel(id);
    }
    changed_.notify_all();
    SendJson(response, known ? internal::kOk : internal::kNotFound,
             {{"cancelled", known}});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    known = core_.FindStream(id) != nullptr;
  }
  if (!known) {
    SendJson(response, internal::kNotFound, {{"error", "unknown stream"}});
    return;
  }
  SendStream(id, target.Number("offset", 0), request, response);
}

// Sends a stream from an offset to its end. When the stream is aborted or
// cancelled, the connection ends without the end marker.
void engine_server::SendStream(const std::string& id,
                               std::uint64_t offset,
                               http_request& request,
                               http_response& response) {
  const std::uint64_t mark = faults_.Mark();
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  response.setKeepAlive(false);
  std::ostream& out = response.send();
  out << std::flush;
  time_point last_sent = clock_.Now();
  while (out.good()) {
    std::string events;
    bool ended = false;
    {
      std::unique_lock lock(mutex_);
      const auto has_news = [&] {
        const stream_state* const stream = core_.FindStream(id);
        return stream == nullptr || stream->text.size() > offset ||
               stream->phase == stream_phase::kFinished ||
               stream->phase == stream_phase::kAborted;
      };
      changed_.wait_until(lock, last_sent + internal::kHeartbeatInterval,
                          has_news);
      const stream_state* const stream = core_.FindStream(id);
      if (stream == nullptr || stream->phase == stream_phase::kAborted) {
        return;
      }
      if (stream->text.size() > offset) {
        const std::string text = stream->text.substr(offset);
        events = "data: " +
                 internal::json{{"offset", offset}, {"text", text}}.dump() +
                 "\n\n";
        offset = stream->text.size();
      }
      if (stream->phase == stream_phase::kFinished) {
        ended = true;
        const internal::json end{
            {"offset", offset}, {"end", true}, {"finish_reason", "length"}};
        events += "data: " + end.dump() + "\n\n";
      }
    }
    faults_.WaitWhilePaused();
    if (faults_.IsSilent(mark)) {
      fault_switches::StaySilent(request);
      return;
    }
    out << (events.empty() ? ": heartbeat\n\n" : events) << std::flush;
    last_sent = clock_.Now();
    if (ended) {
      return;
    }
  }
}

void engine_server::SendLoad(http_response& response) {
  internal::json report;
  {
    const std::lock_guard lock(mutex_);
    report = LoadReport();
  }
  SendJson(response, internal::kOk, report);
}

internal::json engine_server::LoadReport() {
  const time_point now = clock_.Now();
  reports_.Record(core_.Load(), now);
  const engine_load& load = reports_.Read(now, report_lag_);
  const engine_parameters& fixed = core_.Parameters();
  return {{"target", fixed.name},
          {"incarnation", fixed.incarnation},
          {"state", load.leaving ? "leaving" : "serving"},
          {"sequence", ++report_sequence_},
          {"running", load.running},
          {"waiting", load.waiting},
          {"queued_prefill_tokens", load.queued_prefill_tokens},
          {"kv_used_tokens", load.kv_used_tokens},
          {"kv_capacity_tokens", fixed.kv_capacity_tokens},
          {"prefill_tokens_per_s", fixed.prefill_tokens_per_s * fixed.speed},
          {"decode_ms_per_token", fixed.decode_ms_per_token / fixed.speed},
          {"models", load.models},
          {"fencing", load.fencing}};
}

void engine_server::SendCacheEvents(const request_target& target,
                                    http_response& response) {
  internal::json reply;
  {
    const std::lock_guard lock(mutex_);
    const cache_event_log& log = core_.CacheEvents();
    internal::json events = internal::json::array();
    if (target.Number("snapshot", 0) == 1) {
      for (const std::uint64_t block : core_.Memory().CachedBlocks()) {
        events.push_back({{"seq", log.Last()},
                          {"op", "add"},
                          {"block", internal::Hex(block)}});
      }
    } else {
      for (const cache_event& event :
           log.After(target.Number("after", 0), clock_.Now())) {
        const bool is_add = event.change.operation == cache_operation::kAdd;
        events.push_back({{"seq", event.sequence},
                          {"op", is_add ? "add" : "evict"},
                          {"block", internal::Hex(event.change.block)}});
      }
    }
    reply = {{"first", log.First()}, {"events", std::move(events)}};
  }
  SendJson(response, internal::kOk, reply);
}

void engine_server::ServeReservations(const request_target& target,
                                      http_request& request,
                                      http_response& response) {
  std::string id = internal::After(target.path, internal::kReservations);
  const internal::json body = ReadJson(request);
  const std::unique_lock lock(mutex_);
  const time_point now = clock_.Now();
  core_.Expire(now);
  int status = internal::kOk;
  if (request.getMethod() == "DELETE") {
    core_.ReleaseHolding(id);
  } else if (id.ends_with("/renew")) {
    id.resize(id.size() - std::string_view("/renew").size());
    std::optional<duration> lease;
    if (body.contains("lease_ms")) {
      lease = std::chrono::milliseconds(body["lease_ms"].get<std::int64_t>());
    }
    status = core_.Memory().Renew(id, now, lease) ? internal::kOk
                                                  : internal::kNotFound;
  } else {
    holding value = internal::MakeHolding(body, body.at("id"),
                                          holding_kind::kReservation, now);
    status = core_.Memory().Allocate(std::move(value)) ? internal::kCreated
                                                       : internal::kConflict;
  }
  SendJson(response, status, {{"kv_used_tokens", core_.Memory().HeldTokens()}});
}

void engine_server::ServeHoldings(const request_target& target,
                                  const http_request& request,
                                  http_response& response) {
  const std::unique_lock lock(mutex_);
  const time_point now = clock_.Now();
  core_.Expire(now);
  if (request.getMethod() == "DELETE") {
    core_.ReleaseHolding(internal::After(target.path, internal::kHoldings));
    SendJson(response, internal::kOk, internal::json::object());
    return;
  }
  internal::json list = internal::json::array();
  for (const auto& [id, value] : core_.Memory().Holdings()) {
    list.push_back(internal::HoldingJson(value, now));
  }
  SendJson(response, internal::kOk, {{"holdings", std::move(list)}});
}

// A segment's bytes stay imaginary: the digest stands for them.
void engine_server::ServeKv(const request_target& target,
                            http_request& request,
                            http_response& response) {
  const std::string rest = internal::After(target.path, internal::kKv);
  const std::size_t slash = rest.rfind('/');
  const std::string id = rest.substr(0, slash);
  const std::string verb =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const internal::json body = ReadJson(request);
  const std::string segment = std::string(internal::kSegmentPrefix) + id;
  const std::unique_lock lock(mutex_);
  const time_point now = clock_.Now();
  holding value =
      internal::MakeHolding(body, segment, holding_kind::kKvSegment, now);
  if (verb == "export") {
    const stream_state* const stream = core_.FindStream(id);
    if (stream == nullptr) {
      SendJson(response, internal::kNotFound, {{"error", "unknown stream"}});
      return;
    }
    value.tokens = stream->request.prompt_tokens;
    value.owner = stream->request.owner;
    value.deadline = stream->request.deadline;
  } else if (verb != "import") {
    SendJson(response, internal::kNotFound, {{"error", "unknown path"}});
    return;
  }
  const std::uint64_t tokens = value.tokens;
  const bool held = core_.Memory().Allocate(std::move(value));
  SendJson(
      response, held ? internal::kCreated : internal::kConflict,
      {{"id", segment}, {"tokens", tokens}, {"digest", HashPrompt(segment)}});
}

void engine_server::ServeOrders(http_request& request,
                                http_response& response) {
  const order order = internal::MakeOrder(ReadJson(request));
  order_verdict verdict{};
  std::uint64_t fencing{};
  {
    const std::lock_guard lock(mutex_);
    verdict = core_.Apply(order);
    fencing = core_.Load().fencing;
  }
  const int status = verdict == order_verdict::kDone ? internal::kOk
                     : verdict == order_verdict::kOldFencing
                         ? internal::kPreconditionFailed
                         : internal::kGone;
  SendJson(response, status, {{"fencing", fencing}});
}

internal::json engine_server::ControlState() {
  const engine_totals& totals = core_.Totals();
  internal::json after_leaving = internal::json::array();
  for (const duration delay : totals.accepted_after_leaving) {
    after_leaving.push_back(ToMilliseconds(delay));
  }
  return {{"accepted", totals.accepted},
          {"finished", totals.finished},
          {"cancelled", totals.cancelled},
          {"aborted", totals.aborted},
          {"cached_prompt_tokens", totals.cached_prompt_tokens},
          {"accepted_after_leaving_ms", std::move(after_leaving)},
          {"kv_used_tokens", core_.Memory().HeldTokens()}};
}

void engine_server::ServeControl(const request_target& target,
                                 http_request& request,
                                 http_response& response) {
  const std::string verb = internal::After(target.path, internal::kControl);
  const internal::json body = ReadJson(request);
  const auto milliseconds = [&body](const char* key) {
    return std::chrono::milliseconds(body.value(key, std::int64_t{}));
  };
  internal::json state;
  bool known = true;
  {
    const std::lock_guard lock(mutex_);
    if (verb == "die") {
      Die();
    } else if (verb == "silence") {
      faults_.SilenceOpenConnections();
    } else if (verb == "pause") {
      faults_.Pause(milliseconds("ms"));
    } else if (verb == "leave") {
      core_.Leave(clock_.Now());
    } else if (verb == "crash-on") {
      crash_marker_ = body.value("marker", "");
    } else if (verb == "report-late") {
      report_lag_ = milliseconds("ms");
    } else if (verb == "cache-events") {
      core_.CacheEvents().Configure(
          milliseconds("lag_ms"),
          body.value("loss_per_mille", std::uint64_t{}));
    } else if (verb == "pin") {
      known = core_.Memory().Allocate(internal::MakeHolding(
          body, body.at("id"), holding_kind::kPinnedPrefix, clock_.Now()));
    } else {
      known = verb == "state";
    }
    state = ControlState();
  }
  SendJson(response, known ? internal::kOk : internal::kNotFound, state);
}

}  // namespace acaciaferry::standin
