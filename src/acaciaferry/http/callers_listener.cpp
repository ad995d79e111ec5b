#include "acaciaferry/http/callers_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <variant>

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/http/caller_request.hpp"
#include "acaciaferry/http/completion_body.hpp"
#include "acaciaferry/http/connection_check.hpp"
#include "acaciaferry/http/header_guard.hpp"
#include "acaciaferry/http/reply_writer.hpp"

namespace acaciaferry {
namespace internal {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr duration kCallerCheckInterval = std::chrono::milliseconds(250);
// An event stream without output for this time sends a keep-alive comment, so
// that proxies do not close the connection. Sending it also sends the response
// headers, so a later failure is reported as an event of the stream.
constexpr duration kKeepAliveInterval = std::chrono::seconds(5);
// Longest time for which a caller that sends its request head byte by byte
// occupies a thread.
constexpr duration kHeadTimeout = std::chrono::seconds(5);
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr int kAcceptBacklog = 1'024;

// Records the latency to the first token and to the last byte of one reply.
class reply_timer {
 public:
  // Records nothing without labels.
  reply_timer(callers_context& context, std::optional<latency_labels> labels)
      : context_(context), labels_(labels), received_(context.clock.Now()) {}

  void RecordPart(const reply_part& part) {
    if (!labels_) {
      return;
    }
    const duration since = context_.clock.Now() - received_;
    const bool is_end = std::holds_alternative<finish_request>(part);
    if (!has_first_token_ &&
        (is_end || std::holds_alternative<deliver_chunk>(part))) {
      has_first_token_ = true;
      context_.metrics.TimeToFirstToken().Observe(*labels_, since);
    }
    if (is_end) {
      context_.metrics.TimeToLastByte().Observe(*labels_, since);
    }
  }

 private:
  callers_context& context_;
  const std::optional<latency_labels> labels_;
  const time_point received_;
  bool has_first_token_{};
};

// Registers a request's exchange and posts its first event. On destruction,
// removes the exchange, and reports a caller that left before the reply ended.
class request_session {
 public:
  request_session(callers_context& context,
                  HTTPServerRequest& http,
                  const request_id& id,
                  std::optional<latency_labels> labels,
                  std::shared_ptr<exchange> new_exchange,
                  event first)
      : context_(context),
        http_(http),
        id_(id),
        timer_(context, labels),
        exchange_(std::move(new_exchange)) {
    context_.exchanges.Add(id_, exchange_);
    context_.post(std::move(first));
  }

  ~request_session() {
    if (!has_ended_) {
      context_.post(caller_disconnected{id_});
    }
    context_.exchanges.Remove(id_);
  }

  request_session(const request_session&) = delete;
  request_session& operator=(const request_session&) = delete;

  [[nodiscard]] const request_id& Id() const noexcept { return id_; }

  // Waits for the next part of the reply. Returns nothing after the keep-alive
  // interval; throws Poco::IOException when the caller has disconnected.
  std::optional<reply_part> NextPart() {
    const time_point until = context_.clock.Now() + kKeepAliveInterval;
    while (context_.clock.Now() < until) {
      if (auto part = exchange_->Pop(kCallerCheckInterval)) {
        has_ended_ = std::holds_alternative<finish_request>(*part) ||
                     std::holds_alternative<fail_request>(*part);
        timer_.RecordPart(*part);
        return part;
      }
      if (!IsConnected(http_)) {
        throw Poco::IOException("the caller closed the connection");
      }
    }
    return std::nullopt;
  }

 private:
  callers_context& context_;
  HTTPServerRequest& http_;
  const request_id id_;
  reply_timer timer_;
  std::shared_ptr<exchange> exchange_;
  bool has_ended_{};
};

// Sends a streamed completion as server-sent events.
class event_stream_writer {
 public:
  event_stream_writer(request_session& session,
                      HTTPServerResponse& response,
                      completion_format format,
                      std::string model)
      : session_(session),
        response_(response),
        format_(format),
        model_(std::move(model)) {}

  void Run() {
    bool ended = false;
    while (!ended) {
      const auto part = session_.NextPart();
      if (!part) {
        Write(": keep-alive\n\n");
        continue;
      }
      ended =
          std::visit([this](const auto& value) { return Send(value); }, *part);
    }
  }

 private:
  bool Send(const deliver_head& /*head*/) const { return false; }

  bool Send(const deliver_chunk& chunk) {
    Write(CompletionChunkEvent(format_, session_.Id(), model_, chunk.text, ""));
    return false;
  }

  bool Send(const finish_request& end) {
    Write(CompletionChunkEvent(format_, session_.Id(), model_, "",
                               end.finish_reason));
    Write("data: [DONE]\n\n");
    return true;
  }

  bool Send(const fail_request& end) {
    if (body_ == nullptr) {
      SendFailure(response_, session_.Id(), end.reason);
    } else {
      Write("event: error\ndata: " + FailureJson(end.reason) + "\n\n");
    }
    return true;
  }

  void Write(const std::string& text) {
    if (body_ == nullptr) {
      SetReplyHeaders(response_, session_.Id(), outcome::kRan);
      response_.setContentType("text/event-stream");
      response_.set("Cache-Control", "no-cache");
      response_.setChunkedTransferEncoding(true);
      body_ = &response_.send();
    }
    *body_ << text << std::flush;
    if (!body_->good()) {
      throw Poco::IOException("the caller closed the connection");
    }
  }

  request_session& session_;
  HTTPServerResponse& response_;
  const completion_format format_;
  const std::string model_;
  std::ostream* body_{};
};

// Collects the parts of a reply that is sent as a whole.
struct buffered_reply {
  int http_status{200};
  outcome result{outcome::kRan};
  std::string content_type;
  std::string text;
  std::string finish_reason;

  // Each overload returns whether the reply is complete.
  bool operator()(const deliver_head& head) {
    http_status = head.http_status;
    result = head.result;
    content_type = head.content_type;
    return false;
  }
  bool operator()(const deliver_chunk& chunk) {
    text += chunk.text;
    return false;
  }
  bool operator()(const finish_request& end) {
    finish_reason = end.finish_reason;
    return true;
  }
  bool operator()(const fail_request& end) const {
    throw refusal_error{end.reason, end.operation_key, true};
  }
};

buffered_reply BufferReply(request_session& session) {
  buffered_reply reply;
  bool complete = false;
  while (!complete) {
    if (const auto part = session.NextPart()) {
      complete = std::visit(reply, *part);
    }
  }
  return reply;
}

void SendBody(HTTPServerResponse& response,
              const request_id& id,
              const std::string& content_type,
              const std::string& body,
              outcome result = outcome::kRan) {
  SetReplyHeaders(response, id, result);
  if (!content_type.empty()) {
    response.setContentType(content_type);
  }
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  response.send() << body;
}

class callers_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit callers_handler(callers_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const request_id id{context_.incarnation, context_.next_sequence++};
    context_.metrics.CountRequest();
    try {
      Route(id, request, response);
    } catch (const refusal_error& refusal) {
      SendRefusal(id, refusal, request, response);
    } catch (const Poco::TimeoutException&) {
      SendRefusal(id, MakeRefusal(failure_code::kRequestTooSlow), request,
                  response);
    } catch (const Poco::Exception&) {
      response.setKeepAlive(false);
    }
  }

 private:
  void SendRefusal(const request_id& id,
                   refusal_error refusal,
                   const HTTPServerRequest& request,
                   HTTPServerResponse& response) {
    if (!refusal.is_from_reducer) {
      // The reducer counts the requests that it refuses or fails.
      context_.metrics.Count(refusal.reason.code);
    }
    if (response.sent()) {
      return;
    }
    // An earlier request with the same idempotency key may have run.
    if (!refusal.is_from_reducer && request.has("Idempotency-Key")) {
      refusal.reason.result = outcome::kUnknown;
    }
    // The rest of the body is not read, so the connection cannot be reused.
    response.setKeepAlive(false);
    try {
      SendFailure(response, id, refusal.reason, refusal.operation_key);
    } catch (const Poco::Exception&) {
      // The caller closed the connection before the reply.
    }
  }

  void Route(const request_id& id,
             HTTPServerRequest& http,
             HTTPServerResponse& response) {
    const authenticated_workspace workspace =
        Authenticate(http, context_.workspaces);
    const std::string& path = http.getURI();
    const bool is_post = http.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
    if (path == "/v1/models") {
      SendModels(id, response);
    } else if (path == "/v1/completions" && is_post) {
      HandleCompletion(id, workspace, completion_format::kText, http, response);
    } else if (path == "/v1/chat/completions" && is_post) {
      HandleCompletion(id, workspace, completion_format::kChat, http, response);
    } else if (path == "/v1/operation-keys" && is_post) {
      CreateOperationKey(id, http, response);
    } else if (path.starts_with(kServicePrefix)) {
      HandleServiceCall(id, workspace, http, response);
    } else {
      throw MakeRefusal(failure_code::kMalformedRequest);
    }
  }

  void SendModels(const request_id& id, HTTPServerResponse& response) const {
    nlohmann::json list = nlohmann::json::array();
    for (const std::string& model : context_.workspaces.Models()) {
      list.push_back({{"id", model}, {"object", "model"}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", list}};
    SendBody(response, id, "application/json", body.dump());
  }

  void HandleCompletion(const request_id& id,
                        const authenticated_workspace& workspace,
                        completion_format format,
                        HTTPServerRequest& http,
                        HTTPServerResponse& response) {
    std::string text = ReadBody(http, response, context_);
    auto body = ParseCompletionBody(text);
    if (!body) {
      throw MakeRefusal(failure_code::kMalformedRequest);
    }
    acaciaferry::request request{
        .id = id,
        .workspace = workspace.id,
        .kind = request_kind::kCompletion,
        .pool = {body->model},
        .prompt_tokens = EstimateTokens(body->prompt.size()),
        .max_output_tokens = body->max_tokens,
        .prefix_blocks = HashPrefixBlocks(body->prompt),
        .fingerprint = Fingerprint(workspace.id.value, body->model, text),
        .method = {},
        .path = {},
        .idempotency_key = {},
        .timeout = ReadTimeout(http)};
    const latency_labels labels{request.kind,
                                ClassifyLength(request.prompt_tokens),
                                workspace.weight_class};
    auto new_exchange = std::make_shared<exchange>(
        std::move(text), "POST", http.getURI(), "application/json");
    request_session session(context_, http, id, labels, std::move(new_exchange),
                            request_arrived{std::move(request)});
    if (body->stream) {
      event_stream_writer(session, response, format, body->model).Run();
      return;
    }
    const buffered_reply reply = BufferReply(session);
    SendBody(response, id, "application/json",
             CompletionJson(format, id, body->model, reply.text,
                            reply.finish_reason));
  }

  void CreateOperationKey(const request_id& id,
                          HTTPServerRequest& http,
                          HTTPServerResponse& response) {
    static_cast<void>(ReadBody(http, response, context_));
    request_session session(context_, http, id, std::nullopt,
                            std::make_shared<exchange>("", "", "", ""),
                            operation_key_requested{id});
    const buffered_reply reply = BufferReply(session);
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.http_status));
    SendBody(response, id, reply.content_type, reply.text);
  }

  void HandleServiceCall(const request_id& id,
                         const authenticated_workspace& workspace,
                         HTTPServerRequest& http,
                         HTTPServerResponse& response) {
    const std::string rest = http.getURI().substr(kServicePrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string service = rest.substr(0, slash);
    const std::string path = slash == rest.size() ? "/" : rest.substr(slash);
    std::string text = ReadBody(http, response, context_);
    acaciaferry::request request{
        .id = id,
        .workspace = workspace.id,
        .kind = request_kind::kServiceCall,
        .pool = {service},
        .fingerprint = Fingerprint(workspace.id.value, service, text),
        .method = http.getMethod(),
        .path = path,
        .idempotency_key = http.get("Idempotency-Key", ""),
        .timeout = ReadTimeout(http),
        .forwarded = http.has("Acaciaferry-Forwarded")};
    auto new_exchange = std::make_shared<exchange>(
        std::move(text), http.getMethod(), path, http.getContentType());
    new_exchange->idempotency_key = request.idempotency_key;
    new_exchange->authorization = http.get("Authorization", "");
    new_exchange->caller_path = http.getURI();
    const latency_labels labels{request.kind, {}, workspace.weight_class};
    request_session session(context_, http, id, labels, std::move(new_exchange),
                            request_arrived{std::move(request)});
    const buffered_reply reply = BufferReply(session);
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.http_status));
    SendBody(response, id, reply.content_type, reply.text, reply.result);
  }

  callers_context& context_;
};

class callers_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  callers_handler_factory(callers_context& context, header_guard& guard)
      : context_(context), guard_(guard) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    guard_.OnHeadReceived(request.clientAddress());
    return new callers_handler(context_);
  }

 private:
  callers_context& context_;
  header_guard& guard_;
};

Poco::Net::HTTPServerParams::Ptr MakeParameters(
    const daemon_settings& settings) {
  auto* const parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(static_cast<int>(settings.max_connections));
  parameters->setMaxQueued(static_cast<int>(settings.max_connections));
  // Limits each receive, not the whole request.
  parameters->setTimeout(Poco::Timespan(settings.body_timeout.count()));
  return parameters;
}

}  // namespace internal

callers_listener::callers_listener(callers_context& context) {
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress(context.settings.callers_address),
      internal::kAcceptBacklog);
  // Owned by the server, as its connection filter.
  auto* const guard = new header_guard(context.clock, internal::kHeadTimeout);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new internal::callers_handler_factory(context, *guard), socket,
      internal::MakeParameters(context.settings));
  server_->setConnectionFilter(guard);
  server_->start();
}

callers_listener::~callers_listener() {
  server_->stopAll(true);
}

std::uint16_t callers_listener::Port() const {
  return server_->port();
}

}  // namespace acaciaferry
