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

/** Bounds of the lists in one message; longer ones are cut by the sender and
 * refused by the receiver. */
inline constexpr std::size_t kMaxDemands = 64;
inline constexpr std::size_t kMaxSuspects = 64;
inline constexpr std::size_t kMaxLeavingTargets = 64;
inline constexpr std::size_t kMaxSummaryMembers = 128;
inline constexpr std::size_t kMaxRelayedReports = 256;
inline constexpr std::size_t kMaxListChanges = 128;

inline constexpr std::size_t kMaxClosedSets = 64;
inline constexpr std::size_t kMaxKeysInPart = 1'024;
inline constexpr std::uint32_t kMaxClosedParts = 40;

/** Text bytes in one part of a document; leaves room for the envelope. */
inline constexpr std::size_t kMaxPartBytes = 60'000;
inline constexpr std::size_t kMaxDocumentBytes = 1 << 20;
inline constexpr std::size_t kMaxDocumentParts =
    (kMaxDocumentBytes + kMaxPartBytes - 1) / kMaxPartBytes;

/** Predicted tokens a second that a workspace asks of one VM. */
struct workspace_demand {
  workspace_id workspace;
  double tokens_per_second{};
  [[nodiscard]] bool operator==(const workspace_demand&) const = default;
};

/** A part of a workspace's limit that the receiver may use for a lease. */
struct workspace_loan {
  workspace_id workspace;
  double tokens_per_second{};
  [[nodiscard]] bool operator==(const workspace_loan&) const = default;
};

/** A peer that has the whole closed set of a VM that has exited. */
struct closed_set_holder {
  vm_id holder;
  vm_id minter;
  std::uint64_t incarnation{};
  [[nodiscard]] bool operator==(const closed_set_holder&) const = default;
};

/** What became of the call of a spent key. */
enum class closed_result { kUnknown, kAnswer, kFailure, kAnswerDropped };

/** A spent operation key of a VM that exits. */
struct closed_key {
  std::uint64_t sequence{};
  std::uint64_t fingerprint{};
  closed_result result{};
  /** Of an answer. */
  std::uint32_t http_status{};
  std::string content_type;
  std::string body;
  /** Of a failure: its code as callers see it, and its outcome. */
  std::string code;
  outcome failure_outcome{};
  [[nodiscard]] bool operator==(const closed_key&) const = default;
};

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

/** What the sender says of itself and of targets, once a second. */
struct heartbeat {
  bool leaving{};
  /** Accepted configuration revision; zero when there is none. */
  std::uint64_t revision{};
  /** The next four are empty in most heartbeats. */
  failure_domain_id failure_domain;
  region_id region;
  std::string address;
  std::string callers_address;
  std::vector<workspace_demand> demand;
  std::vector<suspect_report> suspects;
  std::vector<leaving_target> leaving_targets;
  /** When the demand was measured, in microseconds of the sender's own clock;
   * a loan names it. */
  std::uint64_t asked_at{};
  std::vector<closed_set_holder> closed_sets;
  [[nodiscard]] bool operator==(const heartbeat&) const = default;
};

/** Load reports that the sender polled. */
struct load_relay {
  std::vector<relayed_report> reports;
  [[nodiscard]] bool operator==(const load_relay&) const = default;
};

struct member_summary {
  vm_id vm;
  std::uint64_t incarnation{};
  std::string callers_address;
  bool leaving{};
  /** Time since a message of this VM was received. */
  duration age{};
  [[nodiscard]] bool operator==(const member_summary&) const = default;
};

/** What one failure domain tells another one through their delegates. */
struct domain_summary {
  failure_domain_id failure_domain;
  /** Set by the delegate that passes it on inside its own domain. */
  bool relayed{};
  /** The sender's own accepted revision. */
  std::uint64_t revision{};
  std::vector<member_summary> members;
  std::vector<relayed_report> reports;
  std::vector<leaving_target> leaving_targets;
  std::vector<suspect_report> suspects;
  std::vector<workspace_demand> demand;
  std::vector<closed_set_holder> closed_sets;
  [[nodiscard]] bool operator==(const domain_summary&) const = default;
};

/** Asks for the receiver's document when it is newer than `after`. */
struct configuration_request {
  std::uint64_t after{};
  [[nodiscard]] bool operator==(const configuration_request&) const = default;
};

/** One part of a configuration document, or of its difference to a base. */
struct configuration_part {
  std::uint64_t revision{};
  /** The revision that the difference applies to; zero for a whole document. */
  std::uint64_t base{};
  std::uint32_t index{};
  std::uint32_t count{};
  /** XXH64 of the whole document. */
  std::uint64_t digest{};
  std::string text;
  [[nodiscard]] bool operator==(const configuration_part&) const = default;
};

/** Entries of the platform's list that the sender found new or changed. */
struct list_changes {
  std::vector<vm_record> entries;
  [[nodiscard]] bool operator==(const list_changes&) const = default;
};

/** Answers the demand of one heartbeat with parts of the sender's share. */
struct share_loans {
  /** The borrower's incarnation and the time in its heartbeat. */
  std::uint64_t incarnation{};
  std::uint64_t asked_at{};
  std::vector<workspace_loan> loans;
  [[nodiscard]] bool operator==(const share_loans&) const = default;
};

/** A part of the sender's closed set; the sender starts no call any more. */
struct closed_keys_part {
  /** Keys from this number on were never minted. */
  std::uint64_t next_sequence{};
  /** When the sender closed, in microseconds of its own clock; keys that had
   * expired by then may be missing. */
  std::uint64_t closed_at{};
  std::uint32_t index{};
  std::uint32_t count{};
  std::vector<closed_key> keys;
  [[nodiscard]] bool operator==(const closed_keys_part&) const = default;
};

/** The sender has all parts of the receiver's closed set. */
struct closed_keys_receipt {
  std::uint64_t incarnation{};
  [[nodiscard]] bool operator==(const closed_keys_receipt&) const = default;
};

/** A kind that a later version added. */
struct unknown_body {
  [[nodiscard]] bool operator==(const unknown_body&) const = default;
};

using peer_body = std::variant<heartbeat,
                               load_relay,
                               domain_summary,
                               configuration_request,
                               configuration_part,
                               list_changes,
                               share_loans,
                               closed_keys_part,
                               closed_keys_receipt,
                               unknown_body>;

/**
 * @brief A message between two daemons.
 */
struct peer_message {
  vm_id vm;
  std::uint64_t incarnation{};
  /** Grows with each message of one incarnation. */
  std::uint64_t sequence{};
  peer_body body;
  [[nodiscard]] bool operator==(const peer_message&) const = default;
};

/** What became of a received message. */
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
  /** Accepted, but some fields of a later version were skipped. */
  kUnknownFields,
};

inline constexpr std::size_t kPeerVerdicts =
    static_cast<std::size_t>(peer_verdict::kUnknownFields) + 1;

}  // namespace acaciaferry
