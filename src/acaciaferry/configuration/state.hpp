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

/** A request to a peer that is not answered in this time is repeated, to
 * whichever peer names the revision next. */
inline constexpr duration kDocumentTimeout = std::chrono::seconds(1);

/** Refused revisions that are remembered, so that they are not read again. */
inline constexpr std::size_t kMaxRefused = 16;

/**
 * @brief A document of which some parts arrived.
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
 * @brief The accepted configuration and what is on its way.
 */
struct configuration_state {
  /** Never decreases; zero before the first configuration. */
  std::uint64_t revision{};
  /** Null when the configuration came from a deployment file. */
  document_text document;
  /** The one before, against which differences are made. */
  std::uint64_t previous_revision{};
  document_text previous_document;
  /** Highest revision that is being checked; zero for none. */
  std::uint64_t checking{};
  /** The latest refused revisions, at most kMaxRefused, ascending. */
  std::vector<std::uint64_t> refused;
  /** When a peer may be asked again. */
  time_point ask_after{};
  std::uint64_t asked_revision{};
  /** Set after a difference did not fit: the next request is for the whole. */
  bool ask_whole{};
  std::optional<incoming_document> incoming;
  /** Bytes served to peers since the window began. */
  time_point serving_since{};
  std::size_t served_bytes{};
};

/** What the functions below want done. */
struct configuration_effects {
  std::vector<send_to_peers> messages;
  std::vector<check_configuration> checks;
  std::vector<record_configuration_verdict> verdicts;
};

/** @return The revision that a watcher has no more need to read. */
[[nodiscard]] std::uint64_t HighestKnownRevision(
    const configuration_state& state) noexcept;

/** @brief The configuration service answered. */
void OnConfigurationRead(configuration_state& state,
                         const configuration_read& event,
                         configuration_effects& out);

/**
 * @brief A peer named its accepted revision.
 * @param state The configuration.
 * @param revision The peer's revision.
 * @param address The peer's listener.
 * @param now The time.
 * @param out Receives a request when the revision is news.
 */
void OnPeerRevision(configuration_state& state,
                    std::uint64_t revision,
                    const std::string& address,
                    time_point now,
                    configuration_effects& out);

/** @brief A peer asks for the document. */
void OnConfigurationRequest(configuration_state& state,
                            const configuration_request& request,
                            const std::string& address,
                            time_point now,
                            configuration_effects& out);

/** @brief A peer sent a part of a document. */
void OnConfigurationPart(configuration_state& state,
                         const vm_id& from,
                         const configuration_part& part,
                         configuration_effects& out);

/**
 * @brief A document was parsed.
 * @return The configuration when it is to come into force, or null.
 */
[[nodiscard]] std::shared_ptr<const deployment> OnConfigurationChecked(
    configuration_state& state,
    const configuration_checked& event,
    configuration_effects& out);

}  // namespace acaciaferry
