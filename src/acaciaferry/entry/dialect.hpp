#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/forwarding/effect.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"
#include "acaciaferry/net/message.hpp"
#include "acaciaferry/publication/reader.hpp"

namespace acaciaferry::entry {

/** @brief A request that may be forwarded, and what stays the same in every
 * attempt. */
struct readable_call {
  forwarding::call what;
  /** What is sent to a target, without the fields that an attempt sets. */
  net::request_head forwarded;
};

/** @brief A request that is refused as it is read. */
struct unreadable_call {
  failure_code why{};
  std::string label;
};

using reading = std::variant<readable_call, unreadable_call>;

/** @brief What the head of a target's answer says. */
struct judged_answer {
  forwarding::response_verdict verdict{};
  /** Address of another target at fault; may be empty. */
  std::string at_fault;
  std::optional<forwarding::reported_load> load;
  /** Whether the answer belongs to the request; one that does not is skipped.
   */
  bool is_ours{true};
};

/** @brief A reply of our own. */
struct own_reply {
  int status{};
  net::header_fields fields;
};

/** @brief A request to a target or to the configuration service. */
struct outgoing_call {
  net::request_head head;
  std::string body;
};

/** @brief A fault in a published document. */
struct document_fault {
  std::string key;
  std::string what;
};

/** @brief The published documents, decoded. */
struct decoded_view {
  /** Nothing when there is no valid configuration. */
  std::optional<forwarding::routing_table> table;
  std::vector<forwarding::target> targets;
  std::vector<document_fault> faults;
};

/**
 * @brief The names and formats that one environment uses for callers, targets
 * and published documents. It translates and decides nothing.
 */
class dialect {
 public:
  virtual ~dialect() = default;

  /** @return The path at which readiness is asked for. */
  [[nodiscard]] virtual std::string_view ReadinessPath() const = 0;

  /**
   * @brief Reads a caller's request.
   * @param id Given to the call.
   * @param head Its head.
   * @param body Its whole body.
   * @param table The routing table.
   * @param draw A random number, for routes with several pools.
   */
  [[nodiscard]] virtual reading Read(forwarding::call_id id,
                                     const net::request_head& head,
                                     std::string_view body,
                                     const forwarding::routing_table& table,
                                     std::uint64_t draw) const = 0;

  /** @brief Adds what one attempt says to the head that is forwarded. */
  [[nodiscard]] virtual net::request_head Attempt(
      const readable_call& call,
      const forwarding::send_attempt& attempt) const = 0;

  /** @brief Judges the head of a target's answer. */
  [[nodiscard]] virtual judged_answer Judge(
      const readable_call& call,
      const net::response_head& head) const = 0;

  /** @brief Words a refusal or failure of our own. */
  [[nodiscard]] virtual own_reply Refuse(const failure& why) const = 0;

  [[nodiscard]] virtual outgoing_call Reserve(
      const forwarding::reserve_memory& order) const = 0;
  [[nodiscard]] virtual outgoing_call Release(
      const forwarding::release_memory& order) const = 0;

  /** @return Prefixes of the published documents that are read. */
  [[nodiscard]] virtual std::vector<std::string> Prefixes() const = 0;
  [[nodiscard]] virtual net::request_head List(
      const publication::list_request& call) const = 0;
  [[nodiscard]] virtual net::request_head Watch(
      const publication::watch_request& call) const = 0;
  /** @brief Decodes the answer to a listing. */
  [[nodiscard]] virtual std::variant<publication::page,
                                     publication::request_failure>
  DecodePage(int status, std::string_view body) const = 0;
  /** @brief Decodes the answer to a watch. */
  [[nodiscard]] virtual std::variant<publication::changes,
                                     publication::request_failure>
  DecodeChanges(int status, std::string_view body) const = 0;

  /** @brief Decodes the published documents. */
  [[nodiscard]] virtual decoded_view Decode(
      const publication::view& view) const = 0;
};

}  // namespace acaciaferry::entry
