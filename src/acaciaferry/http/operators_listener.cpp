#include "acaciaferry/http/operators_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <istream>
#include <ostream>

#include "acaciaferry/administration/status_page.hpp"

namespace acaciaferry {
namespace internal {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

const std::string kText = "text/plain; version=0.0.4";
const std::string kHtml = "text/html; charset=utf-8";
const std::string kJson = "application/json";
// Equals the size limit of the platform's configuration values.
constexpr std::size_t kMaxAdministrationBytes = 1 << 20;

class operators_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit operators_handler(operators_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const std::string& path = request.getURI();
    if (path == "/healthz") {
      Send(response, HTTPResponse::HTTP_OK, "ok\n");
    } else if (path == "/readyz") {
      context_.ready ? Send(response, HTTPResponse::HTTP_OK, "ready\n")
                     : Send(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                            "not ready\n");
    } else if (path.starts_with("/admin/")) {
      HandleAdministration(request, response);
    } else if (path == "/") {
      response.set("Content-Security-Policy",
                   "default-src 'none'; style-src 'unsafe-inline'");
      Send(response, HTTPResponse::HTTP_OK,
           StatusPage(context_.administration, context_.ready), kHtml);
    } else if (path == "/metrics") {
      Send(response, HTTPResponse::HTTP_OK,
           context_.metrics.ToPrometheusText());
    } else {
      Send(response, HTTPResponse::HTTP_NOT_FOUND, "not found\n");
    }
  }

 private:
  void HandleAdministration(HTTPServerRequest& request,
                            HTTPServerResponse& response) const {
    if (!context_.tokens.Accepts(request.get("Authorization", ""))) {
      Send(response, HTTPResponse::HTTP_UNAUTHORIZED,
           "{\"error\": {\"code\": \"unauthenticated\"}}\n", kJson);
      return;
    }
    std::string body(kMaxAdministrationBytes, '\0');
    request.stream().read(body.data(),
                          static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    const std::string path = Poco::URI(request.getURI()).getPath();
    const administration_reply reply = HandleAdministrationRequest(
        context_.administration, request.getMethod(), path, body);
    Send(response, static_cast<HTTPResponse::HTTPStatus>(reply.status),
         reply.body, kJson);
  }

  static void Send(HTTPServerResponse& response,
                   HTTPResponse::HTTPStatus status,
                   const std::string& body,
                   const std::string& content_type = kText) {
    response.setStatusAndReason(status);
    response.setContentType(content_type);
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body;
  }

  operators_context& context_;
};

class operators_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit operators_handler_factory(operators_context& context)
      : context_(context) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new operators_handler(context_);
  }

 private:
  operators_context& context_;
};

}  // namespace internal

operators_listener::operators_listener(const std::string& address,
                                       operators_context& context) {
  const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress(address)};
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new internal::operators_handler_factory(context), socket,
      new Poco::Net::HTTPServerParams);
  server_->start();
}

operators_listener::~operators_listener() {
  server_->stopAll(true);
}

std::uint16_t operators_listener::Port() const {
  return server_->port();
}

}  // namespace acaciaferry
