#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/** Limits of the lists in one message. The sender truncates longer lists, the
 * receiver rejects them. */
inline constexpr std::size_t kMaxDemands = 64;
inline constexpr std::size_t kMaxSuspects = 64;
inline constexpr std::size_t kMaxLeavingTargets = 64;
inline constexpr std::size_t kMaxSummaryMembers = 128;
inline constexpr std::size_t kMaxRelayedReports = 256;
inline constexpr std::size_t kMaxVmListChanges = 128;

/** Limits of closed sets: the final records of the operation keys that an
 * exiting VM used. Its peers answer repeated calls from these records. */
inline constexpr std::size_t kMaxClosedSets = 64;
inline constexpr std::size_t kMaxKeysPerPart = 1'024;
inline constexpr std::uint32_t kMaxClosedKeyParts = 40;

/** Maximum text in one part of a configuration document. The rest of the
 * 64 KiB of a message is for the envelope and the other fields. */
inline constexpr std::size_t kMaxPartBytes = 60'000;
inline constexpr std::size_t kMaxDocumentBytes = 1 << 20;
inline constexpr std::size_t kMaxDocumentParts =
    (kMaxDocumentBytes + kMaxPartBytes - 1) / kMaxPartBytes;

/** Predicted token rate that a workspace requests of one VM. */
struct workspace_demand {
  workspace_id workspace;
  double tokens_per_second{};
  [[nodiscard]] bool operator==(const workspace_demand&) const = default;
};

/** A part of a workspace's rate limit that the receiver may use until the lease
 * of the loan expires. */
struct workspace_loan {
  workspace_id workspace;
  double tokens_per_second{};
  [[nodiscard]] bool operator==(const workspace_loan&) const = default;
};

/** Names a VM that holds the complete closed set of an exited process. */
struct closed_set_holder {
  vm_id holder;
  /** The exited process that issued the keys. */
  vm_id minter;
  std::uint64_t incarnation{};
  [[nodiscard]] bool operator==(const closed_set_holder&) const = default;
};

/** Outcome of the call that used an operation key. */
enum class closed_key_result { kUnknown, kAnswer, kFailure, kAnswerDropped };

/** A used operation key of an exiting VM, with the result of its call. */
struct closed_key {
  std::uint64_t sequence{};
  std::uint64_t fingerprint{};
  closed_key_result result{};
  /** Set for kAnswer. */
  std::uint32_t http_status{};
  std::string content_type;
  std::string body;
  /** Set for kFailure: the error code that callers see, and the outcome. */
  std::string code;
  outcome failure_outcome{};
  [[nodiscard]] bool operator==(const closed_key&) const = default;
};

/** A target process that takes no new work. */
struct leaving_target {
  target_id target;
  std::uint64_t incarnation{};
  [[nodiscard]] bool operator==(const leaving_target&) const = default;
};

/** A load report and its age when the message was sent. */
struct relayed_report {
  load_report report;
  duration age{};
  [[nodiscard]] bool operator==(const relayed_report&) const = default;
};

/** Sent once a second: state of the sender and what it knows of targets. */
struct heartbeat {
  bool leaving{};
  /** Accepted configuration revision; zero when there is none. */
  std::uint64_t revision{};
  /** The next four are sent in full heartbeats only. */
  failure_domain_id failure_domain;
  region_id region;
  std::string address;
  std::string callers_address;
  std::vector<workspace_demand> demand;
  std::vector<suspect_report> suspects;
  std::vector<leaving_target> leaving_targets;
  /** When the demand was measured, in microseconds of the sender's clock.
   * share_loans repeats it. */
  std::uint64_t demand_measured_at{};
  std::vector<closed_set_holder> closed_sets;
  [[nodiscard]] bool operator==(const heartbeat&) const = default;
};

/** Load reports that the sender polled from targets. */
struct load_relay {
  std::vector<relayed_report> reports;
  [[nodiscard]] bool operator==(const load_relay&) const = default;
};

/** State of one VM in a domain_summary. */
struct member_summary {
  vm_id vm;
  std::uint64_t incarnation{};
  std::string callers_address;
  bool leaving{};
  /** Time since a message of this VM was received. */
  duration age{};
  [[nodiscard]] bool operator==(const member_summary&) const = default;
};

/** State of a failure domain, sent by its delegate to the delegate of another
 * one. */
struct domain_summary {
  failure_domain_id failure_domain;
  /** Set by the receiving delegate when it relays the summary to the VMs of its
   * own failure domain. */
  bool relayed{};
  /** Accepted configuration revision of the sender. */
  std::uint64_t revision{};
  std::vector<member_summary> members;
  std::vector<relayed_report> reports;
  std::vector<leaving_target> leaving_targets;
  std::vector<suspect_report> suspects;
  std::vector<workspace_demand> demand;
  std::vector<closed_set_holder> closed_sets;
  [[nodiscard]] bool operator==(const domain_summary&) const = default;
};

/** Requests the receiver's configuration document if its revision is above
 * `after`. */
struct configuration_request {
  std::uint64_t after{};
  [[nodiscard]] bool operator==(const configuration_request&) const = default;
};

/** One part of a configuration document or of its difference from a base
 * revision. */
struct configuration_part {
  std::uint64_t revision{};
  /** Revision that the difference applies to; zero for a complete document. */
  std::uint64_t base{};
  std::uint32_t index{};
  std::uint32_t count{};
  /** XXH64 of the complete document. */
  std::uint64_t digest{};
  std::string text;
  [[nodiscard]] bool operator==(const configuration_part&) const = default;
};

/** New or changed entries that the sender read in the platform's VM list. */
struct vm_list_changes {
  std::vector<vm_record> entries;
  [[nodiscard]] bool operator==(const vm_list_changes&) const = default;
};

/** Answers the demand of one heartbeat with parts of the sender's shares of
 * workspace rate limits. */
struct share_loans {
  /** The borrower's incarnation, and demand_measured_at of its heartbeat. */
  std::uint64_t incarnation{};
  std::uint64_t demand_measured_at{};
  std::vector<workspace_loan> loans;
  [[nodiscard]] bool operator==(const share_loans&) const = default;
};

/** A part of the sender's closed set. The sender starts no more
 * operations. */
struct closed_keys_part {
  /** Keys with this sequence number or a higher one were never issued. */
  std::uint64_t next_sequence{};
  /** When the set was closed, in microseconds of the sender's clock. Keys that
   * had expired by then may be missing. */
  std::uint64_t closed_at{};
  std::uint32_t index{};
  std::uint32_t count{};
  std::vector<closed_key> keys;
  [[nodiscard]] bool operator==(const closed_keys_part&) const = default;
};

/** Acknowledges that the sender has all parts of the receiver's closed set. */
struct closed_keys_acknowledgement {
  std::uint64_t incarnation{};
  [[nodiscard]] bool operator==(const closed_keys_acknowledgement&) const =
      default;
};

/** Body of a kind that this version does not know. */
struct unknown_body {
  [[nodiscard]] bool operator==(const unknown_body&) const = default;
};

using peer_body = std::variant<heartbeat,
                               load_relay,
                               domain_summary,
                               configuration_request,
                               configuration_part,
                               vm_list_changes,
                               share_loans,
                               closed_keys_part,
                               closed_keys_acknowledgement,
                               unknown_body>;

/**
 * @brief A message between two daemons.
 */
struct peer_message {
  vm_id vm;
  std::uint64_t incarnation{};
  /** Increases with each message of one incarnation. */
  std::uint64_t sequence{};
  peer_body body;
  [[nodiscard]] bool operator==(const peer_message&) const = default;
};

/** Result of checking a received message. */
enum class peer_verdict {
  kAccepted,
  kOversized,
  kMalformed,
  kUnknownFormat,
  kForged,
  kReplayed,
  kSupersededIncarnation,
  kOwnName,
  kTooManyPeers,
  kUnknownKind,
  /** Accepted; fields that this version does not know were skipped. */
  kUnknownFields,
};

inline constexpr std::size_t kPeerVerdictCount =
    static_cast<std::size_t>(peer_verdict::kUnknownFields) + 1;

}  // namespace acaciaferry
