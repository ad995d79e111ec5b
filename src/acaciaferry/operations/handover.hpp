#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** How long an exiting VM waits until its peers acknowledge its closed keys. */
inline constexpr duration kHandoverTimeout = std::chrono::seconds(1);
/** Time between transmissions to receivers that have not acknowledged. */
inline constexpr duration kHandoverResendInterval =
    std::chrono::milliseconds(250);

/**
 * @brief A complete answer of a service.
 */
struct stored_answer {
  int http_status{};
  std::string content_type;
  std::string body;
};

/** The call was started and has not ended. */
struct operation_running {};

/** The call ran; its answer was dropped because of the size limit. */
struct operation_answer_dropped {};

using operation_result = std::variant<operation_running,
                                      stored_answer,
                                      failure,
                                      operation_answer_dropped>;

/**
 * @brief A key whose call was started or refused, and the result.
 */
struct spent_key {
  /** Fingerprint of the only request that may be answered under the key. */
  std::uint64_t fingerprint{};
  time_point expires{};
  operation_result result;
};

/** Identifies the keys of one process: a VM and its incarnation. */
using key_set_id = std::pair<vm_id, std::uint64_t>;

/**
 * @brief The received parts of another VM's closed set: the spent keys of a
 * process that starts no more operations.
 */
struct closed_set {
  /** Keys from this sequence number on were never minted. */
  std::uint64_t next_sequence{};
  /** By the minting VM's clock. */
  time_point closed_at{};
  std::uint32_t part_count{};
  /** Indexes of the parts that have arrived. */
  std::set<std::uint32_t> received_parts;
  /** By sequence number. */
  std::map<std::uint64_t, spent_key> spent_keys;
  /** When the last of the keys has expired, by this VM's clock. */
  time_point expires{};
};

/**
 * @brief The hand-over of this VM's closed set before it exits.
 */
struct key_handover {
  std::vector<closed_keys_part> parts;
  /** Names and addresses of the peers that have not acknowledged. */
  std::map<vm_id, std::string> receivers;
  time_point deadline{};
  time_point next_send{};
};

}  // namespace acaciaferry
