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

administration_reply Reply(int status, const json& body) {
  return {status, body.dump(2) + "\n"};
}

administration_reply Error(int status, std::string_view code) {
  return Reply(status, {{"error", {{"code", code}}}});
}

// Builds a view on the reducer's thread.
template <typename View>
administration_reply Show(const administration_context& context, View view) {
  json result;
  context.inspect(
      [&result, &view](const state& value) { result = view(value); });
  return Reply(kOk, result);
}

administration_reply ShowRefusals(const administration_context& context) {
  json result = json::array();
  for (std::size_t i = 0; i < kFailureCodeCount; ++i) {
    const auto code = static_cast<failure_code>(i);
    const std::uint64_t count = context.metrics.Value(code);
    if (count > 0) {
      result.push_back({{"code", Describe(code).code},
                        {"count", count},
                        {"meaning", Describe(code).message}});
    }
  }
  return Reply(kOk, result);
}

json FaultsView(const std::vector<setting_fault>& faults) {
  json view = json::array();
  for (const setting_fault& each : faults) {
    view.push_back({{"section", each.section},
                    {"key", each.key},
                    {"value", each.value},
                    {"allowed", each.allowed}});
  }
  return view;
}

administration_reply CheckAnswersText(std::string_view body) {
  std::vector<setting_fault> faults;
  static_cast<void>(ReadAnswers(body, faults));
  return Reply(faults.empty() ? kOk : kUnprocessable,
               {{"faults", FaultsView(faults)}});
}

administration_reply PreviewAnswers(std::string_view body) {
  std::vector<setting_fault> faults;
  const answers given = ReadAnswers(body, faults);
  if (!faults.empty()) {
    return Reply(kUnprocessable, {{"faults", FaultsView(faults)}});
  }
  return Reply(kOk, {{"document", GenerateDocument(given)}});
}

constexpr std::string_view kRequestPrefix = "/admin/v1/requests/";

administration_reply ExplainRequest(const administration_context& context,
                                    std::string_view text) {
  const auto id = ParseRequestId(text);
  if (!id) {
    return Error(kNotFound, "malformed_request_id");
  }
  const time_point now = context.clock.Now();
  std::optional<json> explanation;
  context.inspect([&](const state& value) {
    if (const auto* const found = FindHistory(value.history, *id)) {
      explanation = ExplanationView(*found, now);
    }
  });
  // Requests that failed before admission, such as unauthenticated ones, and
  // those of other VMs are not here either.
  return explanation ? Reply(kOk, *explanation)
                     : Error(kNotFound, "unknown_request");
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
            return Show(context, StatusView);
          }},
    route{"GET", "/admin/v1/targets",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return Show(context, [now](const state& value) {
              return TargetsView(value, now);
            });
          }},
    route{"GET", "/admin/v1/workspaces",
          [](const administration_context& context, std::string_view) {
            return Show(context, WorkspacesView);
          }},
    route{"GET", "/admin/v1/configuration",
          [](const administration_context& context, std::string_view) {
            return Show(context, ConfigurationView);
          }},
    route{"GET", "/admin/v1/peers",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return Show(context, [now](const state& value) {
              return PeersView(value, now);
            });
          }},
    route{"GET", "/admin/v1/requests",
          [](const administration_context& context, std::string_view) {
            const time_point now = context.clock.Now();
            return Show(context, [now](const state& value) {
              return RequestsView(value, now);
            });
          }},
    route{"GET", "/admin/v1/refusals",
          [](const administration_context& context, std::string_view) {
            return ShowRefusals(context);
          }},
    route{"POST", "/admin/v1/answers/check",
          [](const administration_context&, std::string_view body) {
            return CheckAnswersText(body);
          }},
    route{"POST", "/admin/v1/answers/preview",
          [](const administration_context&, std::string_view body) {
            return PreviewAnswers(body);
          }},
    route{"POST", "/admin/v1/drain",
          [](const administration_context& context, std::string_view) {
            context.drain();
            return Reply(kAccepted, {{"draining", true}});
          }},
};

}  // namespace internal

administration_reply Administrate(const administration_context& context,
                                  std::string_view method,
                                  std::string_view path,
                                  std::string_view body) {
  if (path.starts_with(internal::kRequestPrefix)) {
    path.remove_prefix(internal::kRequestPrefix.size());
    return method == "GET" ? internal::ExplainRequest(context, path)
                           : internal::Error(internal::kMethodNotAllowed,
                                             "method_not_allowed");
  }
  bool is_known_path = false;
  for (const internal::route& each : internal::kRoutes) {
    if (each.path != path) {
      continue;
    }
    is_known_path = true;
    if (each.method == method) {
      return each.handle(context, body);
    }
  }
  return is_known_path ? internal::Error(internal::kMethodNotAllowed,
                                         "method_not_allowed")
                       : internal::Error(internal::kNotFound, "not_found");
}

}  // namespace acaciaferry
