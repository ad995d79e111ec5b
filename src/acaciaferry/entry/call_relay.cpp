#include "acaciaferry/entry/call_relay.hpp"

#include <charconv>
#include <utility>
#include <vector>

namespace acaciaferry::entry {
namespace internal {

// Targets accept connections within milliseconds, while a lost SYN is
// retransmitted only after one second. Failing earlier lets the call move to
// another target.
constexpr duration kConnectTimeout = std::chrono::milliseconds(600);
constexpr std::size_t kMaxCollectedBytes = 16U << 20U;
constexpr std::string_view kContentLength = "Content-Length";
constexpr int kNoContent = 204;

forwarding::attempt_failure ToAttemptFailure(net::exchange_failure failure) {
  switch (failure) {
    case net::exchange_failure::kNoTunnel:
      return forwarding::attempt_failure::kNoTunnel;
    case net::exchange_failure::kNotConnected:
      return forwarding::attempt_failure::kNotConnected;
    case net::exchange_failure::kNoResponse:
      return forwarding::attempt_failure::kNoResponse;
    case net::exchange_failure::kBroken:
    case net::exchange_failure::kMalformed:
      break;
  }
  return forwarding::attempt_failure::kBroken;
}

// 0 if there is none.
std::uint64_t ParseLength(std::string_view text) {
  std::uint64_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

// Whether the length that a response states is that of a body which it doesn't
// have (RFC 9110, section 8.6).
bool StatesOtherLength(std::string_view method, int status) {
  return net::HasNoBody(method, status) && status != kNoContent;
}

// A stream that has begun goes on only with a response of the same kind: any
// other one would end it as complete, or add bytes that are no events of it.
bool IsSameKind(const net::response_head& begun,
                const net::response_head& next) {
  return next.status == begun.status &&
         net::FindField(next.fields, "Content-Type") ==
             net::FindField(begun.fields, "Content-Type");
}

}  // namespace internal

call_relay::call_relay(boost::asio::io_context& loop,
                       const dialect& protocol,
                       std::shared_ptr<net::server_exchange> caller,
                       parsed_request request,
                       event_sink report,
                       net::memory_account* memory)
    : loop_(loop),
      protocol_(protocol),
      caller_(std::move(caller)),
      request_(std::move(request)),
      report_(std::move(report)),
      memory_(memory) {
  caller_->on_client_disconnected = [this] {
    report_(forwarding::caller_disconnected{request_.call.id});
  };
  caller_->on_writable = [this] {
    for (auto& [attempt, exchange] : exchanges_) {
      exchange.connection->Resume();
    }
  };
}

void call_relay::SendAttempt(const forwarding::send_attempt& attempt) {
  const std::uint32_t attempt_number = attempt.attempt;
  const forwarding::call_id id = request_.call.id;
  std::string().swap(collected_body_);
  const auto self = shared_from_this();
  held_.emplace(memory_, [this] {
    boost::asio::post(loop_, [self = shared_from_this()] { self->LetGo(); });
  });
  net::exchange_handlers handlers;
  handlers.on_sent = [self, id, attempt_number] {
    self->report_(forwarding::attempt_sent{id, attempt_number});
  };
  handlers.on_head = [self, attempt_number](const net::response_head& head) {
    return self->OnHead(attempt_number, head);
  };
  handlers.on_body = [self, attempt_number](std::string_view bytes) {
    self->OnBody(attempt_number, bytes);
  };
  handlers.on_end = [self, attempt_number] { self->OnEnd(attempt_number); };
  handlers.on_failure = [self, attempt_number](net::exchange_failure failure) {
    self->OnFailure(attempt_number, failure);
  };
  target_exchange started;
  started.connection = std::make_shared<net::client_exchange>(
      loop_, std::move(handlers), memory_);
  started.stream.SetLastId(attempt.resume_after);
  const auto connection = started.connection;
  exchanges_.insert_or_assign(attempt_number, std::move(started));
  const net::request_head head = protocol_.BuildAttemptHead(request_, attempt);
  std::string request = net::Serialize(head, caller_->body.size());
  // A second buffer costs more than the copy of a small body, which the account
  // of requests counts.
  std::shared_ptr<const std::string> body;
  if (caller_->body.size() <= net::kSmallBodyBytes) {
    request += caller_->body;
  } else {
    body = {caller_, &caller_->body};
  }
  connection->Start(attempt.address, std::move(request),
                    internal::kConnectTimeout, attempt.tunnel, std::move(body));
}

void call_relay::CancelAttempt(std::uint32_t attempt) {
  if (const auto cancelled = exchanges_.extract(attempt)) {
    cancelled.mapped().connection->Cancel();
  }
}

void call_relay::CancelOthers(std::uint32_t attempt) {
  std::erase_if(exchanges_, [attempt](const auto& each) {
    if (each.first == attempt) {
      return false;
    }
    each.second.connection->Cancel();
    return true;
  });
}

bool call_relay::OnHead(std::uint32_t attempt, const net::response_head& head) {
  response_classification classified =
      protocol_.ClassifyResponse(request_, head);
  if (!classified.matches_request) {
    return false;
  }
  if (caller_->HasBegun() &&
      classified.verdict == forwarding::response_verdict::kServed &&
      !internal::IsSameKind(response_head_, head)) {
    classified.verdict = forwarding::response_verdict::kUnusable;
  }
  if (const auto at = exchanges_.find(attempt); at != exchanges_.end()) {
    at->second.is_stream =
        classified.verdict == forwarding::response_verdict::kServed &&
        request_.call.kind == forwarding::call_kind::kStreaming;
    const std::string_view length =
        net::FindField(head.fields, internal::kContentLength);
    at->second.has_length = !length.empty();
    // What is known to be too long is not collected first.
    if (!at->second.is_stream &&
        !net::HasNoBody(caller_->head.method, head.status) &&
        internal::ParseLength(length) > internal::kMaxCollectedBytes) {
      classified.verdict = forwarding::response_verdict::kUnusable;
    }
  }
  if (!caller_->HasBegun()) {
    response_head_ = head;
  }
  const auto self = shared_from_this();
  report_(forwarding::response_started{
      request_.call.id, attempt, classified.verdict, head.status,
      classified.at_fault, classified.load, classified.limit,
      classified.availability, classified.cold_for});
  return true;
}

void call_relay::OnBody(std::uint32_t attempt, std::string_view bytes) {
  const auto at = exchanges_.find(attempt);
  if (at == exchanges_.end()) {
    return;
  }
  if (at->second.is_stream) {
    ForwardEvents(attempt, at->second, bytes);
  } else if (collected_body_.size() + bytes.size() >
             internal::kMaxCollectedBytes) {
    FailAttempt(attempt, forwarding::attempt_failure::kBroken);
  } else {
    collected_body_ += bytes;
    UpdateHeld(at->second);
  }
}

void call_relay::UpdateHeld(const target_exchange& from) {
  held_->Set(collected_body_.size() + from.stream.BufferedBytes(),
             from.has_length ? net::held_content::kDeclared
                             : net::held_content::kOpenEnded);
}

void call_relay::LetGo() {
  std::vector<std::uint32_t> attempts;
  for (const auto& [attempt, exchange] : exchanges_) {
    attempts.push_back(attempt);
  }
  std::string().swap(collected_body_);
  for (const std::uint32_t attempt : attempts) {
    FailAttempt(attempt, forwarding::attempt_failure::kBroken);
  }
}

void call_relay::ForwardEvents(std::uint32_t attempt,
                               target_exchange& from,
                               std::string_view bytes) {
  const std::string events = from.stream.Feed(bytes);
  UpdateHeld(from);
  if (from.stream.IsTooLarge()) {
    FailAttempt(attempt, forwarding::attempt_failure::kBroken);
    return;
  }
  if (events.empty()) {
    return;
  }
  if (from.stream.HasGap()) {
    FailAttempt(attempt, forwarding::attempt_failure::kBroken);
    return;
  }
  // The others would repeat these events.
  CancelOthers(attempt);
  if (!caller_->HasBegun()) {
    caller_->BeginChunked(response_head_.status, ForwardedFields());
  }
  caller_->WriteChunk(events);
  if (caller_->PendingBytes() > net::kWriteHighWatermark) {
    from.connection->Pause();
  }
  report_(forwarding::response_progressed{request_.call.id, attempt,
                                          from.stream.LastId()});
}

void call_relay::OnEnd(std::uint32_t attempt) {
  auto ended = exchanges_.extract(attempt);
  if (!ended) {
    return;
  }
  net::event_stream& stream = ended.mapped().stream;
  if (ended.mapped().is_stream && stream.HasPartialEvent()) {
    FailAttempt(attempt, forwarding::attempt_failure::kBroken);
    return;
  }
  if (caller_->HasBegun()) {
    caller_->WriteChunk(stream.TakeHeldBack());
  } else {
    collected_body_ += stream.TakeHeldBack();
  }
  report_(forwarding::response_completed{request_.call.id, attempt});
}

void call_relay::OnFailure(std::uint32_t attempt,
                           net::exchange_failure failure) {
  FailAttempt(attempt, internal::ToAttemptFailure(failure));
}

void call_relay::FailAttempt(std::uint32_t attempt,
                             forwarding::attempt_failure failure) {
  const auto self = shared_from_this();
  CancelAttempt(attempt);
  report_(forwarding::attempt_failed{request_.call.id, attempt, failure});
}

net::header_fields call_relay::ForwardedFields() const {
  const bool states_length =
      internal::StatesOtherLength(caller_->head.method, response_head_.status);
  net::header_fields fields;
  for (const net::header_field& field : response_head_.fields) {
    const bool is_length =
        net::HeaderNamesEqual(field.name, internal::kContentLength);
    if (!net::IsHopByHop(field.name) || (is_length && states_length)) {
      fields.push_back(field);
    }
  }
  return fields;
}

void call_relay::DeliverCollected() {
  if (!caller_->HasBegun()) {
    held_.reset();
    caller_->Reply(response_head_.status, ForwardedFields(),
                   std::move(collected_body_));
  }
}

void call_relay::FinishStream() {
  caller_->EndChunked();
}

void call_relay::Abort() {
  caller_->Abort();
}

void call_relay::SendLocalReply(const failure& reason) {
  const local_reply reply = protocol_.BuildLocalReply(reason);
  caller_->Reply(reply.status, reply.fields, "");
}

}  // namespace acaciaferry::entry
