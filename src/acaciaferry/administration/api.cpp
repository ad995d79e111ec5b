#include "acaciaferry/administration/api.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <vector>

#include "acaciaferry/administration/explanation.hpp"
#include "acaciaferry/administration/views.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/questionnaire/answers.hpp"
#include "acaciaferry/questionnaire/document.hpp"

namespace acaciaferry {
namespace internal {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnprocessable = 422;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

administration_reply JsonReply(int status, const json& body) {
  return {status, body.dump(2) + "\n"};
}

administration_reply ErrorReply(int status, std::string_view code) {
  return JsonReply(status, {{"error", {{"code", code}}}});
}

// Replies with a view that is built on the reducer's thread.
template <typename View>
administration_reply ReplyWithView(const administration_context& context,
                                   View view) {
  json result;
  context.inspect(
      [&result, &view](const state& value) { result = view(value); });
  return JsonReply(kOk, result);
}

administration_reply ReplyWithRefusals(const administration_context& context) {
  json result = json::array();
  for (std::size_t i = 0; i < kFailureCodeCount; ++i) {
    const auto code = static_cast<failure_code>(i);
    const std::uint64_t count = context.metrics.FailureCount(code);
    if (count > 0) {
      result.push_back({{"code", Describe(code).code},
                        {"count", count},
                        {"meaning", Describe(code).message}});
    }
  }
  return JsonReply(kOk, result);
}

json FaultsView(const std::vector<setting_fault>& faults) {
  json view = json::array();
  for (const setting_fault& entry : faults) {
    view.push_back({{"section", entry.section},
                    {"key", entry.key},
                    {"value", entry.value},
                    {"allowed", entry.allowed}});
  }
  return view;
}

administration_reply ReplyToAnswersCheck(std::string_view body) {
  std::vector<setting_fault> faults;
  static_cast<void>(ReadAnswers(body, faults));
  return JsonReply(faults.empty() ? kOk : kUnprocessable,
                   {{"faults", FaultsView(faults)}});
}

administration_reply ReplyToAnswersPreview(std::string_view body) {
  std::vector<setting_fault> faults;
  const answers parsed = ReadAnswers(body, faults);
  if (!faults.empty()) {
    return JsonReply(kUnprocessable, {{"faults", FaultsView(faults)}});
  }
  return JsonReply(kOk, {{"document", GenerateDocument(parsed)}});
}

constexpr std::string_view kRequestPrefix = "/admin/v1/requests/";

administration_reply ExplainRequest(const administration_context& context,
                                    std::string_view text) {
  const auto id = ParseRequestId(text);
  if (!id) {
    return ErrorReply(kNotFound, "malformed_request_id");
  }
  const time_point now = context.clock.Now();
  std::optional<json> explanation;
  context.inspect([&](const state& value) {
    if (const auto* const history = FindHistory(value.history, *id)) {
      explanation = ExplanationView(*history, now);
    }
  });
  // The history has no requests that failed before admission, such as
  // unauthenticated ones, and none of other VMs.
  return explanation ? JsonReply(kOk, *explanation)
                     : ErrorReply(kNotFound, "unknown_request");
}

struct route {
  std::string_view method;
  std::string_view path;
  administration_reply (*handle)(const administration_context&,
                                 std::string_view body);
};

constexpr std::array kRoutes{
    route{"GET", "/admin/v1/status",
          [](const administration_context& context, std::string_view) {
            return ReplyWithView(context, StatusView);
          }},
    route{"GET", "/admin/v1/targets",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return ReplyWithView(context, [now](const state& value) {
              return TargetsView(value, now);
            });
          }},
    route{"GET", "/admin/v1/workspaces",
          [](const administration_context& context, std::string_view) {
            return ReplyWithView(context, WorkspacesView);
          }},
    route{"GET", "/admin/v1/configuration",
          [](const administration_context& context, std::string_view) {
            return ReplyWithView(context, ConfigurationView);
          }},
    route{"GET", "/admin/v1/peers",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return ReplyWithView(context, [now](const state& value) {
              return PeersView(value, now);
            });
          }},
    route{"GET", "/admin/v1/requests",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return ReplyWithView(context, [now](const state& value) {
              return RequestsView(value, now);
            });
          }},
    route{"GET", "/admin/v1/refusals",
          [](const administration_context& context, std::string_view) {
            return ReplyWithRefusals(context);
          }},
    route{"POST", "/admin/v1/answers/check",
          [](const administration_context&, std::string_view body) {
            return ReplyToAnswersCheck(body);
          }},
    route{"POST", "/admin/v1/answers/preview",
          [](const administration_context&, std::string_view body) {
            return ReplyToAnswersPreview(body);
          }},
    route{"POST", "/admin/v1/drain",
          [](const administration_context& context, std::string_view) {
            context.drain();
            return JsonReply(kAccepted, {{"draining", true}});
          }},
};

}  // namespace internal

administration_reply HandleAdministrationRequest(
    const administration_context& context,
    std::string_view method,
    std::string_view path,
    std::string_view body) {
  if (path.starts_with(internal::kRequestPrefix)) {
    path.remove_prefix(internal::kRequestPrefix.size());
    return method == "GET" ? internal::ExplainRequest(context, path)
                           : internal::ErrorReply(internal::kMethodNotAllowed,
                                                  "method_not_allowed");
  }
  bool is_known_path = false;
  for (const internal::route& entry : internal::kRoutes) {
    if (entry.path != path) {
      continue;
    }
    is_known_path = true;
    if (entry.method == method) {
      return entry.handle(context, body);
    }
  }
  return is_known_path ? internal::ErrorReply(internal::kMethodNotAllowed,
                                              "method_not_allowed")
                       : internal::ErrorReply(internal::kNotFound, "not_found");
}

}  // namespace acaciaferry
