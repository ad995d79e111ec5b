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

/** How long an exit waits for the receipts, and the time between sendings. */
inline constexpr duration kHandoverTime = std::chrono::seconds(1);
inline constexpr duration kHandoverRepeat = std::chrono::milliseconds(250);

/**
 * @brief A whole answer of a plain service.
 */
struct stored_answer {
  int http_status{};
  std::string content_type;
  std::string body;
};

/** The call was started and has not ended. */
struct operation_running {};

/** The call ran; its answer had to be dropped to keep the bound on bytes. */
struct operation_answer_dropped {};

using operation_result = std::variant<operation_running,
                                      stored_answer,
                                      failure,
                                      operation_answer_dropped>;

/**
 * @brief A spent key.
 */
struct operation {
  /** The only request that may be answered under this key. */
  std::uint64_t fingerprint{};
  time_point expires{};
  operation_result result;
};

/** The keys of one process: a VM and its incarnation. */
using key_set = std::pair<vm_id, std::uint64_t>;

/**
 * @brief The closed keys of another VM, as far as they have arrived.
 */
struct closed_set {
  std::uint64_t next_sequence{};
  /** By the minting VM's clock. */
  time_point closed_at{};
  std::uint32_t count{};
  std::set<std::uint32_t> received;
  std::map<std::uint64_t, operation> spent;
  /** By this VM's clock: when the last of the keys has expired. */
  time_point expires{};
};

/**
 * @brief What this VM sends before it exits.
 */
struct key_handover {
  std::vector<closed_keys_part> parts;
  /** Names and addresses of the peers that have not confirmed it. */
  std::map<vm_id, std::string> receivers;
  time_point deadline{};
  time_point next_send{};
};

}  // namespace acaciaferry
