#include "acaciaferry/entry/call_relay.hpp"

#include <utility>

namespace acaciaferry::entry {
namespace internal {

// A target answers a new connection within milliseconds; a packet that opens
// one and is lost comes again after a second.
constexpr duration kConnectTimeout = std::chrono::milliseconds(600);
constexpr std::size_t kMostCollectedBytes = 16U << 20U;

forwarding::attempt_failure LossOf(net::exchange_failure failure) {
  switch (failure) {
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

}  // namespace internal

call_relay::call_relay(boost::asio::io_context& loop,
                       const dialect& words,
                       std::shared_ptr<net::server_exchange> caller,
                       readable_call call,
                       sink report)
    : loop_(loop),
      words_(words),
      caller_(std::move(caller)),
      call_(std::move(call)),
      report_(std::move(report)) {
  caller_->on_client_gone = [this] {
    report_(forwarding::caller_disconnected{call_.what.id});
  };
  caller_->on_writable = [this] {
    if (target_) {
      target_->Resume();
    }
  };
}

void call_relay::Send(const forwarding::send_attempt& attempt) {
  const std::uint32_t number = attempt.attempt;
  const forwarding::call_id id = call_.what.id;
  collected_.clear();
  stream_.Restart();
  stream_.SetLastId(attempt.resume_after);
  is_stream_ = false;
  const auto self = shared_from_this();
  net::exchange_handlers handlers;
  handlers.on_sent = [self, id, number] {
    self->report_(forwarding::attempt_sent{id, number});
  };
  handlers.on_head = [self, number](const net::response_head& head) {
    return self->OnHead(number, head);
  };
  handlers.on_body = [self, number](std::string_view bytes) {
    self->OnBody(number, bytes);
  };
  handlers.on_end = [self, number] { self->OnEnd(number); };
  handlers.on_failure = [self, number](net::exchange_failure failure) {
    self->OnFailure(number, failure);
  };
  target_ = std::make_shared<net::client_exchange>(loop_, std::move(handlers));
  const net::request_head head = words_.Attempt(call_, attempt);
  target_->Start(attempt.address,
                 net::Serialize(head, caller_->body.size()) + caller_->body,
                 internal::kConnectTimeout);
}

void call_relay::Cancel() {
  if (target_) {
    const auto ended = std::exchange(target_, nullptr);
    ended->Cancel();
  }
}

bool call_relay::OnHead(std::uint32_t attempt, const net::response_head& head) {
  const judged_answer judged = words_.Judge(call_, head);
  if (!judged.is_ours) {
    return false;
  }
  is_stream_ = judged.verdict == forwarding::response_verdict::kServed &&
               call_.what.kind == forwarding::call_kind::kStreaming;
  if (!caller_->HasBegun()) {
    answer_ = head;
  }
  const auto self = shared_from_this();
  report_(forwarding::response_started{call_.what.id, attempt, judged.verdict,
                                       head.status, judged.at_fault,
                                       judged.load});
  return true;
}

void call_relay::OnBody(std::uint32_t attempt, std::string_view bytes) {
  if (is_stream_) {
    PassEvents(attempt, bytes);
  } else if (collected_.size() + bytes.size() > internal::kMostCollectedBytes) {
    Lose(attempt, forwarding::attempt_failure::kBroken);
  } else {
    collected_ += bytes;
  }
}

void call_relay::PassEvents(std::uint32_t attempt, std::string_view bytes) {
  const std::string whole = stream_.Feed(bytes);
  if (whole.empty()) {
    return;
  }
  if (stream_.HasGap()) {
    Lose(attempt, forwarding::attempt_failure::kBroken);
    return;
  }
  if (!caller_->HasBegun()) {
    caller_->BeginChunked(answer_.status, AnswerFields());
  }
  caller_->WriteChunk(whole);
  if (caller_->Pending() > net::kWriteHighWater && target_) {
    target_->Pause();
  }
  report_(forwarding::response_progressed{call_.what.id, attempt,
                                          stream_.LastId()});
}

void call_relay::OnEnd(std::uint32_t attempt) {
  target_.reset();
  if (is_stream_ && stream_.HasRemainder()) {
    Lose(attempt, forwarding::attempt_failure::kBroken);
    return;
  }
  report_(forwarding::response_completed{call_.what.id, attempt});
}

void call_relay::OnFailure(std::uint32_t attempt,
                           net::exchange_failure failure) {
  target_.reset();
  Lose(attempt, internal::LossOf(failure));
}

void call_relay::Lose(std::uint32_t attempt, forwarding::attempt_failure how) {
  const auto self = shared_from_this();
  Cancel();
  report_(forwarding::attempt_failed{call_.what.id, attempt, how});
}

net::header_fields call_relay::AnswerFields() const {
  net::header_fields fields;
  for (const net::header_field& field : answer_.fields) {
    if (!net::IsHopByHop(field.name)) {
      fields.push_back(field);
    }
  }
  return fields;
}

void call_relay::Deliver() {
  if (!caller_->HasBegun()) {
    caller_->Reply(answer_.status, AnswerFields(), collected_);
  }
}

void call_relay::Finish() {
  caller_->EndChunked();
}

void call_relay::Abort() {
  caller_->Abort();
}

void call_relay::Refuse(const failure& why) {
  const own_reply reply = words_.Refuse(why);
  caller_->Reply(reply.status, reply.fields, "");
}

}  // namespace acaciaferry::entry
