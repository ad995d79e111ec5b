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

/**
 * @brief A request that passed parsing and authentication, with the parts that
 * are the same for every attempt.
 */
struct parsed_request {
  forwarding::call call;
  /**
   * Request head for the target, without the fields that differ per attempt.
   */
  net::request_head forwarded_head;
};

/** @brief A request that failed parsing, routing or authentication. */
struct rejected_request {
  failure_code code{};
  /** The caller's id of the request, for logs. */
  std::string caller_request_id;
};

using parse_result = std::variant<parsed_request, rejected_request>;

/** @brief Meaning of the head of a target's response. */
struct response_classification {
  forwarding::response_verdict verdict{};
  /**
   * Address of another target that caused the failure; empty if none is named.
   */
  std::string at_fault;
  std::optional<forwarding::reported_load> load;
  /** What the response says of the target's limit, if it says anything. */
  std::optional<forwarding::limit_statement> limit;
  /** What the response says of whether the target takes further requests. */
  forwarding::availability_statement availability;
  /** For how much longer the target is cold, if the response says that it is.
   */
  std::optional<duration> cold_for;
  /**
   * False when the response carries the id of another request; such a response
   * is skipped.
   */
  bool matches_request{true};
};

/**
 * @brief A bodiless reply that this process produces instead of forwarding a
 * target's response.
 */
struct local_reply {
  int status{};
  net::header_fields fields;
};

/** @brief A request that this process sends on its own account. */
struct outgoing_request {
  net::request_head head;
  std::string body;
};

/** @brief An error found while decoding a published document. */
struct document_fault {
  std::string key;
  std::string message;
};

/** @brief The published documents, decoded. */
struct decoded_view {
  /** Empty if the view holds no valid configuration, or none that is later than
   * the known one. */
  std::optional<forwarding::routing_table> table;
  std::vector<forwarding::target> targets;
  /** Failure domains that the operator has ordered to be evacuated. */
  std::vector<failure_domain_id> evacuated_domains;
  std::vector<document_fault> faults;
};

/**
 * @brief Translates between the wire format of one platform and the types of
 * the entry daemon: callers' requests, targets' responses and published
 * documents. It takes no routing decision.
 */
class dialect {
 public:
  virtual ~dialect() = default;

  /** @return The path of the readiness probe. */
  [[nodiscard]] virtual std::string_view ReadinessPath() const = 0;

  /**
   * @brief Parses, routes and authenticates a caller's request.
   * @param id Id of the new call.
   * @param head Head of the request.
   * @param body The complete body.
   * @param table Current routing table.
   * @param random Random number that selects a pool when the route's traffic is
   * split.
   */
  [[nodiscard]] virtual parse_result ParseRequest(
      forwarding::call_id id,
      const net::request_head& head,
      std::string_view body,
      const forwarding::routing_table& table,
      std::uint64_t random) const = 0;

  /**
   * @brief Builds the request head of one attempt: the forwarded head and the
   * fields of this attempt.
   */
  [[nodiscard]] virtual net::request_head BuildAttemptHead(
      const parsed_request& request,
      const forwarding::send_attempt& attempt) const = 0;

  /** @brief Classifies a response by its head. */
  [[nodiscard]] virtual response_classification ClassifyResponse(
      const parsed_request& request,
      const net::response_head& head) const = 0;

  /** @brief Reads from the head of a response, also of one to an order, whether
   * its target takes further requests. */
  [[nodiscard]] virtual forwarding::availability_statement ReadAvailability(
      const net::response_head& head) const = 0;

  /** @brief Builds the reply for a failure that this process reports itself. */
  [[nodiscard]] virtual local_reply BuildLocalReply(
      const failure& reason) const = 0;

  /** @brief Builds the order that reserves or renews memory at a target. */
  [[nodiscard]] virtual outgoing_request BuildReserveRequest(
      const forwarding::reserve_memory& order) const = 0;
  /** @brief Builds the order that releases reserved memory. */
  [[nodiscard]] virtual outgoing_request BuildReleaseRequest(
      const forwarding::release_memory& order) const = 0;

  /** @return Key prefixes of the published documents that the daemon needs. */
  [[nodiscard]] virtual std::vector<std::string> DocumentPrefixes() const = 0;
  /** @brief Builds a request for one page of a listing. */
  [[nodiscard]] virtual net::request_head BuildListRequest(
      const publication::list_request& call) const = 0;
  /** @brief Builds a long poll for changes. */
  [[nodiscard]] virtual net::request_head BuildWatchRequest(
      const publication::watch_request& call) const = 0;
  /**
   * @brief Reads the era of the service from the head of its response. The era
   * rises when the service comes back from an older copy; revisions of
   * different eras don't compare.
   * @return 0 if the response names none.
   */
  [[nodiscard]] virtual std::uint64_t ServiceEra(
      const net::response_head& head) const = 0;
  /** @brief Decodes the response to a listing. */
  [[nodiscard]] virtual std::variant<publication::page,
                                     publication::request_failure>
  DecodePage(int status, std::string_view body) const = 0;
  /** @brief Decodes the response to a watch. */
  [[nodiscard]] virtual std::variant<publication::changes,
                                     publication::request_failure>
  DecodeChanges(int status, std::string_view body) const = 0;

  /** @return How versions of published documents compare. */
  [[nodiscard]] virtual publication::document_ranks DocumentRanks() const = 0;

  /**
   * @brief Decodes the published documents.
   * @param view The documents.
   * @param known_version Version of the routing table in use, 0 for none. A
   * configuration that is no later is not decoded.
   */
  [[nodiscard]] virtual decoded_view DecodeDocuments(
      const publication::view& view,
      std::uint64_t known_version) const = 0;
};

}  // namespace acaciaferry::entry
