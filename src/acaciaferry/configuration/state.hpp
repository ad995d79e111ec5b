#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/configuration/effect.hpp"
#include "acaciaferry/configuration/event.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/effect.hpp"
#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** After this time without a complete answer, the document is requested again
 * from the next peer that announces the revision. */
inline constexpr duration kDocumentRequestTimeout = std::chrono::seconds(1);

/** Maximum number of rejected revisions that are kept to avoid requesting them
 * again. */
inline constexpr std::size_t kMaxRejectedRevisions = 16;

/**
 * @brief A document that is being received from a peer in parts.
 */
struct incoming_document {
  vm_id from;
  std::uint64_t revision{};
  std::uint64_t base{};
  std::uint64_t digest{};
  std::vector<std::optional<std::string>> parts;
  std::size_t missing{};
};

/**
 * @brief The accepted configuration and the documents being received, checked
 * or served.
 */
struct configuration_state {
  /** Never decreases; zero before the first configuration. */
  std::uint64_t revision{};
  /** Null when the configuration was read from a deployment file. */
  document_text document;
  /** The previous document, which is the base of differences. */
  std::uint64_t previous_revision{};
  document_text previous_document;
  /** Highest revision that is being checked; zero for none. */
  std::uint64_t checking_revision{};
  /** The highest rejected revisions in ascending order, at most
   * kMaxRejectedRevisions. */
  std::vector<std::uint64_t> rejected_revisions;
  /** When the next request may be sent; a higher revision is requested at
   * once. */
  time_point next_request_at{};
  std::uint64_t requested_revision{};
  /** Set when received parts did not give a document with the announced digest:
   * the next request is for the complete document, not for a difference. */
  bool request_full_document{};
  std::optional<incoming_document> incoming;
  /** Start of the window in which the served bytes are limited. */
  time_point serving_window_start{};
  /** Bytes served to peers since the current window began. */
  std::size_t served_bytes{};
};

/** Effects of the functions below. */
struct configuration_effects {
  std::vector<send_to_peers> messages;
  std::vector<check_configuration> checks;
  std::vector<record_configuration_verdict> verdicts;
};

/** @return The highest accepted, rejected or pending revision; a watcher reads
 * only later ones. */
[[nodiscard]] std::uint64_t HighestKnownRevision(
    const configuration_state& state) noexcept;

/** @brief Handles a document that was read from the configuration service. */
void OnConfigurationRead(configuration_state& state,
                         const configuration_read& event,
                         configuration_effects& out);

/**
 * @brief Handles the accepted revision that a peer announced.
 * @param state The configuration.
 * @param revision The peer's revision.
 * @param address Where the peer listens.
 * @param now The time.
 * @param out Receives a request when the revision is wanted.
 */
void OnPeerRevision(configuration_state& state,
                    std::uint64_t revision,
                    const std::string& address,
                    time_point now,
                    configuration_effects& out);

/** @brief Handles a peer's request for the document. */
void OnConfigurationRequest(configuration_state& state,
                            const configuration_request& request,
                            const std::string& address,
                            time_point now,
                            configuration_effects& out);

/** @brief Handles a part of a document from a peer. */
void OnConfigurationPart(configuration_state& state,
                         const vm_id& from,
                         const configuration_part& part,
                         configuration_effects& out);

/**
 * @brief Handles the result of parsing a document.
 * @return The configuration to apply, or null when the document is rejected.
 */
[[nodiscard]] std::shared_ptr<const deployment> OnConfigurationChecked(
    configuration_state& state,
    const configuration_checked& event,
    configuration_effects& out);

}  // namespace acaciaferry
