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
// A stream that has nothing to send after this time begins with a keep-alive,
// so that a proxy on the way does not close the connection. From then on a
// failure is reported inside the stream.
constexpr duration kKeepAliveInterval = std::chrono::seconds(5);
// A caller that sends its head byte by byte holds a thread for this time.
constexpr duration kHeadTimeout = std::chrono::seconds(5);
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr int kAcceptBacklog = 1'024;

// Measures how long the parts of one request's reply take.
class reply_timer {
 public:
  // Without labels nothing is measured.
  reply_timer(callers_context& context, std::optional<latency_labels> labels)
      : context_(context), labels_(labels), received_(context.clock.Now()) {}

  void Note(const reply_part& part) {
    if (!labels_) {
      return;
    }
    const duration since = context_.clock.Now() - received_;
    const bool is_end = std::holds_alternative<finish_request>(part);
    if (!begun_ && (is_end || std::holds_alternative<deliver_chunk>(part))) {
      begun_ = true;
      context_.metrics.FirstToken().Observe(*labels_, since);
    }
    if (is_end) {
      context_.metrics.LastByte().Observe(*labels_, since);
    }
  }

 private:
  callers_context& context_;
  const std::optional<latency_labels> labels_;
  const time_point received_;
  bool begun_{};
};

// One request that the reducer works on, registered for its lifetime.
class session {
 public:
  session(callers_context& context,
          HTTPServerRequest& http,
          const request_id& id,
          std::optional<latency_labels> labels,
          std::shared_ptr<exchange> link,
          event first)
      : context_(context),
        http_(http),
        id_(id),
        timer_(context, labels),
        link_(std::move(link)) {
    context_.exchanges.Add(id_, link_);
    context_.post(std::move(first));
  }

  ~session() {
    if (!ended_) {
      context_.post(caller_disconnected{id_});
    }
    context_.exchanges.Remove(id_);
  }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  [[nodiscard]] const request_id& Id() const noexcept { return id_; }

  // Waits for the next part of the reply. Gives nothing after the keep-alive
  // interval; throws when the caller has gone.
  std::optional<reply_part> Next() {
    const time_point until = context_.clock.Now() + kKeepAliveInterval;
    while (context_.clock.Now() < until) {
      if (auto part = link_->Pop(kCallerCheckInterval)) {
        ended_ = std::holds_alternative<finish_request>(*part) ||
                 std::holds_alternative<fail_request>(*part);
        timer_.Note(*part);
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
  std::shared_ptr<exchange> link_;
  bool ended_{};
};

// Sends an answer as server-sent events.
class stream_reply {
 public:
  stream_reply(session& source,
               HTTPServerResponse& response,
               answer_shape shape,
               std::string model)
      : source_(source),
        response_(response),
        shape_(shape),
        model_(std::move(model)) {}

  void Run() {
    bool ended = false;
    while (!ended) {
      const auto part = source_.Next();
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
    Write(StreamEvent(shape_, source_.Id(), model_, chunk.text, ""));
    return false;
  }

  bool Send(const finish_request& end) {
    Write(StreamEvent(shape_, source_.Id(), model_, "", end.finish_reason));
    Write("data: [DONE]\n\n");
    return true;
  }

  bool Send(const fail_request& end) {
    if (body_ == nullptr) {
      SendFailure(response_, source_.Id(), end.reason);
    } else {
      Write("event: error\ndata: " + FailureJson(end.reason) + "\n\n");
    }
    return true;
  }

  void Write(const std::string& text) {
    if (body_ == nullptr) {
      SetOutcome(response_, source_.Id(), outcome::kRan);
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

  session& source_;
  HTTPServerResponse& response_;
  const answer_shape shape_;
  const std::string model_;
  std::ostream* body_{};
};

// Collects a whole answer before anything is sent.
struct collected_reply {
  int http_status{200};
  outcome result{outcome::kRan};
  std::string content_type;
  std::string text;
  std::string finish_reason;

  // True when the answer is complete.
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
    throw refused{end.reason, end.operation_key, true};
  }
};

collected_reply Collect(session& source) {
  collected_reply reply;
  bool complete = false;
  while (!complete) {
    if (const auto part = source.Next()) {
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
  SetOutcome(response, id, result);
  if (!content_type.empty()) {
    response.setContentType(content_type);
  }
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  response.send() << body;
}

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(callers_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const request_id id{context_.incarnation, context_.next_sequence++};
    context_.metrics.CountRequest();
    try {
      Route(id, request, response);
    } catch (const refused& refusal) {
      Refuse(id, refusal, request, response);
    } catch (const Poco::TimeoutException&) {
      Refuse(id, Refused(failure_code::kRequestTooSlow), request, response);
    } catch (const Poco::Exception&) {
      response.setKeepAlive(false);
    }
  }

 private:
  void Refuse(const request_id& id,
              refused refusal,
              const HTTPServerRequest& request,
              HTTPServerResponse& response) {
    if (!refusal.decided) {
      // The reducer counts its own.
      context_.metrics.Count(refusal.reason.code);
    }
    if (response.sent()) {
      return;
    }
    // An earlier call with the same key may have run.
    if (!refusal.decided && request.has("Idempotency-Key")) {
      refusal.reason.result = outcome::kUnknown;
    }
    // The rest of a refused body is not read, so the connection must end.
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
      Complete(id, workspace, answer_shape::kText, http, response);
    } else if (path == "/v1/chat/completions" && is_post) {
      Complete(id, workspace, answer_shape::kChat, http, response);
    } else if (path == "/v1/operation-keys" && is_post) {
      MintKey(id, http, response);
    } else if (path.starts_with(kServicePrefix)) {
      CallService(id, workspace, http, response);
    } else {
      throw Refused(failure_code::kMalformedRequest);
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

  void Complete(const request_id& id,
                const authenticated_workspace& workspace,
                answer_shape shape,
                HTTPServerRequest& http,
                HTTPServerResponse& response) {
    std::string text = ReadBody(http, response, context_);
    auto body = ParseCompletionBody(text);
    if (!body) {
      throw Refused(failure_code::kMalformedRequest);
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
    const latency_labels labels{
        request.kind, ClassifyLength(request.prompt_tokens), workspace.size};
    auto link = std::make_shared<exchange>(std::move(text), "POST",
                                           http.getURI(), "application/json");
    session source(context_, http, id, labels, std::move(link),
                   request_arrived{std::move(request)});
    if (body->stream) {
      stream_reply(source, response, shape, body->model).Run();
      return;
    }
    const collected_reply reply = Collect(source);
    SendBody(
        response, id, "application/json",
        AnswerJson(shape, id, body->model, reply.text, reply.finish_reason));
  }

  void MintKey(const request_id& id,
               HTTPServerRequest& http,
               HTTPServerResponse& response) {
    static_cast<void>(ReadBody(http, response, context_));
    session source(context_, http, id, std::nullopt,
                   std::make_shared<exchange>("", "", "", ""),
                   operation_key_requested{id});
    const collected_reply reply = Collect(source);
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.http_status));
    SendBody(response, id, reply.content_type, reply.text);
  }

  void CallService(const request_id& id,
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
    auto link = std::make_shared<exchange>(std::move(text), http.getMethod(),
                                           path, http.getContentType());
    link->idempotency_key = request.idempotency_key;
    link->authorization = http.get("Authorization", "");
    link->caller_path = http.getURI();
    const latency_labels labels{request.kind, {}, workspace.size};
    session source(context_, http, id, labels, std::move(link),
                   request_arrived{std::move(request)});
    const collected_reply reply = Collect(source);
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.http_status));
    SendBody(response, id, reply.content_type, reply.text, reply.result);
  }

  callers_context& context_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(callers_context& context, header_guard& guard)
      : context_(context), guard_(guard) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    guard_.HeadArrived(request.clientAddress());
    return new handler(context_);
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
  // Limits the wait for each read of a slow caller.
  parameters->setTimeout(Poco::Timespan(settings.body_timeout.count()));
  return parameters;
}

}  // namespace internal

callers_listener::callers_listener(callers_context& context) {
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress(context.settings.callers_address),
      internal::kAcceptBacklog);
  // The server owns the guard, as its connection filter.
  auto* const guard = new header_guard(context.clock, internal::kHeadTimeout);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new internal::handler_factory(context, *guard), socket,
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
