#include "acaciaferry/target_client/target_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <atomic>
#include <istream>
#include <ostream>

#include "acaciaferry/target_client/response_check.hpp"
#include "acaciaferry/target_client/wire.hpp"

namespace acaciaferry {
namespace internal {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int kMinThreads = 4;
constexpr int kMaxThreads = 2'048;
constexpr int kIdleThreadSeconds = 30;
constexpr long kConnectTimeoutUs = 1'000'000;
// Ends a connection that the reducer no longer tracks; the reducer's own
// progress timeout is much shorter.
constexpr int kSocketTimeoutSeconds = 30;
constexpr std::size_t kMaxLineBytes = 1 << 20;
constexpr std::size_t kServiceChunkBytes = 16 << 10;

// Deletes itself after its run, since Poco::ThreadPool does not own its tasks.
class task final : public Poco::Runnable {
 public:
  explicit task(std::function<void()> function)
      : function_(std::move(function)) {}

  void run() override {
    const std::unique_ptr<task> self(this);
    function_();
  }

 private:
  std::function<void()> function_;
};

// Thrown before any byte of the request is sent.
class connect_error final : public std::exception {};

// Thrown for a response whose head is not valid: nothing in it is believed.
class invalid_head_error final : public std::exception {};

Poco::Net::StreamSocket Connect(const std::string& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address),
                   Poco::Timespan(0, kConnectTimeoutUs));
    socket.setNoDelay(true);
    return socket;
  } catch (const Poco::Exception&) {
    throw connect_error();
  }
}

std::istream& ReceiveResponse(Poco::Net::HTTPClientSession& session,
                              HTTPResponse& response) {
  std::istream& body = session.receiveResponse(response);
  if (!HasValidHead(response)) {
    throw invalid_head_error();
  }
  return body;
}

bool IsRefusedBeforeExecution(const HTTPResponse& response) {
  const bool refusing_status =
      response.getStatus() == HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
      response.getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  return refusing_status && response.get("Acaciaferry-Executed", "") == "no";
}

bool IsSuccess(const HTTPResponse& response) {
  return response.getStatus() / 100 == 2;
}

// Only entry VMs set the header on their replies; without it the outcome is
// unknown.
outcome ReportedOutcome(const HTTPResponse& response) {
  const std::string text = response.get("Acaciaferry-Outcome", "");
  for (const outcome value : {outcome::kRan, outcome::kNotRun}) {
    if (text == ToString(value)) {
      return value;
    }
  }
  return outcome::kUnknown;
}

void SetForwardHeaders(HTTPRequest& request,
                       const start_attempt& effect,
                       const exchange& request_exchange) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.remaining);
  request.set("Authorization", request_exchange.authorization);
  request.set("Request-Timeout-Ms",
              std::to_string(std::max<std::int64_t>(milliseconds.count(), 1)));
  request.set("Acaciaferry-Forwarded", "1");
}

void SetAttemptHeaders(HTTPRequest& request,
                       const start_attempt& effect,
                       const std::string& owner) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.remaining);
  request.set("Acaciaferry-Stream-Id", ToString(effect.attempt));
  request.set("Acaciaferry-Owner", owner);
  request.set("Acaciaferry-Deadline-Ms", std::to_string(milliseconds.count()));
  request.set("Acaciaferry-Priority", std::to_string(effect.priority));
  request.set("Acaciaferry-Prompt-Tokens",
              std::to_string(effect.prompt_tokens));
  std::string span;
  for (const std::string& reservation : effect.reservations) {
    span += (span.empty() ? "" : ",") + reservation;
  }
  if (!span.empty()) {
    request.set("Acaciaferry-Span", span);
  }
}

// Reads server-sent events until the end marker.
class stream_reader {
 public:
  stream_reader(std::istream& stream, attempt_id id)
      : stream_(stream), id_(id) {}

  // Returns the next event, or nothing at the end of the connection.
  std::optional<event> NextEvent() {
    std::string line;
    while (std::getline(stream_, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (line.size() > kMaxLineBytes) {
        return attempt_failed{id_, transport_error::kMalformedAnswer};
      }
      if (line.starts_with(':')) {
        return attempt_progressed{id_};
      }
      if (line.starts_with("data: ")) {
        return ReadItem(std::string_view(line).substr(6));
      }
    }
    return std::nullopt;
  }

 private:
  [[nodiscard]] event ReadItem(std::string_view json) const {
    auto item = ParseStreamItem(json);
    if (!item) {
      return attempt_failed{id_, transport_error::kMalformedAnswer};
    }
    if (item->end) {
      return answer_ended{id_, item->offset, std::move(item->finish_reason)};
    }
    return answer_chunk{id_, item->offset, std::move(item->text)};
  }

  std::istream& stream_;
  attempt_id id_;
};

}  // namespace internal

// One connection of an attempt. Once closed or replaced, it posts no events.
class target_client::attempt_connection {
 public:
  attempt_connection(attempt_id id,
                     std::uint32_t number,
                     const post_event& post)
      : id_(id), number_(number), post_(post) {}

  // A read fails after the longer of kSocketTimeoutSeconds and the limit.
  void Open(const std::string& address, duration limit = duration::zero()) {
    const Poco::Net::StreamSocket socket = internal::Connect(address);
    session_ = std::make_shared<Poco::Net::HTTPClientSession>(socket);
    const duration backstop =
        std::chrono::seconds(internal::kSocketTimeoutSeconds);
    session_->setTimeout(Poco::Timespan(std::max(backstop, limit).count()));
    const std::lock_guard lock(mutex_);
    open_socket_ = socket;
    if (closed_) {
      throw internal::connect_error();
    }
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    try {
      open_socket_.shutdown();
    } catch (const Poco::Exception&) {
      // The socket was never connected, or the target closed it first.
    }
  }

  void Post(event event) const {
    if (!closed_) {
      post_(std::move(event));
    }
  }

  void PostFailure(transport_error error) const {
    Post(attempt_failed{id_, error, number_});
  }

  // Runs a function and posts a failure when it throws.
  template <typename Function>
  void RunReportingErrors(Function function) const {
    try {
      function();
    } catch (const internal::connect_error&) {
      PostFailure(transport_error::kConnectFailed);
    } catch (const internal::invalid_head_error&) {
      PostFailure(transport_error::kMalformedAnswer);
    } catch (const std::exception&) {
      PostFailure(transport_error::kConnectionLost);
    }
  }

  [[nodiscard]] Poco::Net::HTTPClientSession& Session() { return *session_; }

  [[nodiscard]] const attempt_id& Id() const noexcept { return id_; }

  void ReadStream(std::istream& stream) const {
    internal::stream_reader reader(stream, id_);
    while (auto next = reader.NextEvent()) {
      if (auto* const failed = std::get_if<attempt_failed>(&*next)) {
        failed->connection_number = number_;
      }
      const bool is_last = std::holds_alternative<answer_ended>(*next) ||
                           std::holds_alternative<attempt_failed>(*next);
      Post(*std::move(next));
      if (is_last) {
        return;
      }
    }
    PostFailure(transport_error::kConnectionLost);
  }

  // Posts the status of the response. Returns whether its body is to be read.
  [[nodiscard]] bool ReportStatus(
      const Poco::Net::HTTPResponse& response) const {
    if (internal::IsRefusedBeforeExecution(response)) {
      Post(attempt_rejected{id_});
      return false;
    }
    Post(attempt_accepted{id_, static_cast<int>(response.getStatus()),
                          response.getContentType(),
                          internal::ReportedOutcome(response)});
    return true;
  }

 private:
  const attempt_id id_;
  const std::uint32_t number_;
  const post_event& post_;
  std::shared_ptr<Poco::Net::HTTPClientSession> session_;
  std::mutex mutex_;
  Poco::Net::StreamSocket open_socket_;
  std::atomic<bool> closed_{};
};

target_client::target_client(std::string owner,
                             exchange_registry& exchanges,
                             post_event post)
    : owner_(std::move(owner)),
      exchanges_(exchanges),
      post_(std::move(post)),
      threads_(internal::kMinThreads,
               internal::kMaxThreads,
               internal::kIdleThreadSeconds) {}

target_client::~target_client() {
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, connection] : connections_) {
      connection->Close();
    }
  }
  threads_.joinAll();
}

void target_client::Start(const start_attempt& effect) {
  const connection_ptr connection = ReplaceConnection(effect.attempt, 0);
  auto request_exchange = exchanges_.Find(effect.attempt.request);
  if (request_exchange == nullptr) {
    // The caller has disconnected and the body is gone, so nothing is sent.
    connection->PostFailure(transport_error::kConnectFailed);
    RemoveConnection(connection);
    return;
  }
  SpawnConnection(connection, [this, connection, effect,
                               request_exchange = std::move(request_exchange)] {
    effect.kind == request_kind::kCompletion
        ? RunCompletion(connection, effect, *request_exchange)
        : RunServiceCall(connection, effect, *request_exchange);
  });
}

void target_client::Resume(const resume_attempt& effect) {
  const connection_ptr connection =
      ReplaceConnection(effect.attempt, effect.connection_number);
  SpawnConnection(connection,
                  [connection, effect] { RunResume(connection, effect); });
}

void target_client::Cancel(const cancel_attempt& effect) {
  CloseConnection(effect.attempt);
  if (effect.kind != request_kind::kCompletion) {
    return;
  }
  Spawn([effect] {
    try {
      Poco::Net::HTTPClientSession session(internal::Connect(effect.address));
      session.setTimeout(Poco::Timespan(internal::kSocketTimeoutSeconds, 0));
      internal::HTTPRequest request(internal::HTTPRequest::HTTP_DELETE,
                                    "/v1/streams/" + ToString(effect.attempt),
                                    internal::HTTPRequest::HTTP_1_1);
      session.sendRequest(request);
      internal::HTTPResponse response;
      session.receiveResponse(response);
    } catch (const std::exception&) {
      // When the request is lost, reclamation releases the stream.
    }
  });
}

target_client::connection_ptr target_client::ReplaceConnection(
    const attempt_id& id,
    std::uint32_t number) {
  CloseConnection(id);
  auto connection = std::make_shared<attempt_connection>(id, number, post_);
  const std::lock_guard lock(mutex_);
  connections_[id] = connection;
  return connection;
}

void target_client::CloseConnection(const attempt_id& id) {
  connection_ptr connection;
  {
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    connection = found->second;
    connections_.erase(found);
  }
  connection->Close();
}

void target_client::RemoveConnection(const connection_ptr& connection) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(connection->Id());
  if (found != connections_.end() && found->second == connection) {
    connections_.erase(found);
  }
}

void target_client::SpawnConnection(const connection_ptr& connection,
                                    std::function<void()> function) {
  Spawn([this, connection, function = std::move(function)] {
    connection->RunReportingErrors(function);
    RemoveConnection(connection);
  });
}

void target_client::Spawn(std::function<void()> function) {
  auto task = std::make_unique<internal::task>(std::move(function));
  // Throws when all threads are in use, which RunReportingErrors cannot catch.
  // kMaxThreads is meant to be far above the number of connections that the
  // callers' listener accepts; it is twice the default.
  threads_.start(*task);
  // The task deletes itself when it has run.
  static_cast<void>(task.release());
}

void target_client::RunCompletion(const connection_ptr& connection,
                                  const start_attempt& effect,
                                  const exchange& request_exchange) {
  connection->Open(effect.address);
  internal::HTTPRequest request(internal::HTTPRequest::HTTP_POST,
                                request_exchange.path,
                                internal::HTTPRequest::HTTP_1_1);
  request.setContentType("application/json");
  request.setContentLength64(
      static_cast<Poco::Int64>(request_exchange.body.size()));
  internal::SetAttemptHeaders(request, effect, owner_);
  connection->Post(attempt_sent{effect.attempt});
  connection->Session().sendRequest(request)
      << request_exchange.body << std::flush;
  internal::HTTPResponse response;
  std::istream& answer =
      internal::ReceiveResponse(connection->Session(), response);
  if (!internal::IsSuccess(response) &&
      !internal::IsRefusedBeforeExecution(response)) {
    connection->PostFailure(transport_error::kServerError);
    return;
  }
  if (connection->ReportStatus(response)) {
    connection->ReadStream(answer);
  }
}

void target_client::RunServiceCall(const connection_ptr& connection,
                                   const start_attempt& effect,
                                   const exchange& request_exchange) {
  // A service may send nothing until its whole answer is ready.
  connection->Open(effect.address, effect.remaining);
  internal::HTTPRequest request(
      request_exchange.method,
      effect.forward ? request_exchange.caller_path : request_exchange.path,
      internal::HTTPRequest::HTTP_1_1);
  if (!request_exchange.content_type.empty()) {
    request.setContentType(request_exchange.content_type);
  }
  request.setContentLength64(
      static_cast<Poco::Int64>(request_exchange.body.size()));
  if (effect.forward) {
    internal::SetForwardHeaders(request, effect, request_exchange);
  } else {
    internal::SetAttemptHeaders(request, effect, owner_);
  }
  if (!request_exchange.idempotency_key.empty()) {
    request.set("Idempotency-Key", request_exchange.idempotency_key);
  }
  connection->Post(attempt_sent{effect.attempt});
  connection->Session().sendRequest(request)
      << request_exchange.body << std::flush;
  internal::HTTPResponse response;
  std::istream& answer =
      internal::ReceiveResponse(connection->Session(), response);
  if (!connection->ReportStatus(response)) {
    return;
  }
  // POCO cannot distinguish a truncated chunked body from a complete one.
  if (!HasOneLength(response)) {
    connection->PostFailure(transport_error::kMalformedAnswer);
    return;
  }
  std::uint64_t offset = 0;
  std::string buffer(internal::kServiceChunkBytes, '\0');
  while (
      answer.read(buffer.data(), static_cast<std::streamsize>(buffer.size())) ||
      answer.gcount() > 0) {
    const auto count = static_cast<std::size_t>(answer.gcount());
    connection->Post(
        answer_chunk{effect.attempt, offset, buffer.substr(0, count)});
    offset += count;
  }
  const auto length = static_cast<std::uint64_t>(response.getContentLength64());
  if (offset != length) {
    connection->PostFailure(transport_error::kConnectionLost);
    return;
  }
  connection->Post(answer_ended{effect.attempt, offset, "stop"});
}

void target_client::RunResume(const connection_ptr& connection,
                              const resume_attempt& effect) {
  connection->Open(effect.address);
  internal::HTTPRequest request(internal::HTTPRequest::HTTP_GET,
                                "/v1/streams/" + ToString(effect.attempt) +
                                    "?offset=" + std::to_string(effect.offset),
                                internal::HTTPRequest::HTTP_1_1);
  connection->Session().sendRequest(request);
  internal::HTTPResponse response;
  std::istream& answer =
      internal::ReceiveResponse(connection->Session(), response);
  if (!internal::IsSuccess(response)) {
    connection->PostFailure(transport_error::kUnknownStream);
    return;
  }
  connection->ReadStream(answer);
}

}  // namespace acaciaferry
