#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/event.hpp"
#include "acaciaferry/operations/handover.hpp"
#include "acaciaferry/operations/operation_key.hpp"

namespace acaciaferry {

/**
 * @brief A peer that may have minted keys.
 */
struct key_owner {
  std::uint64_t incarnation{};
  std::string callers_address;
};

/**
 * @brief The operations of this incarnation.
 *
 * Holds at most 16,384 spent keys and 16 MiB of answers. A spent key is never
 * forgotten before it expires: a full set refuses new operations.
 */
struct operations_state {
  /** The deployment's key; empty when there is none. */
  std::string secret;
  std::uint64_t next_sequence{1};
  /** By sequence number, which is also the order of expiry. */
  std::map<std::uint64_t, operation> spent;
  std::size_t answer_bytes{};
  /** Newest incarnation of each peer; at most 4,096, the latest. */
  std::unordered_map<vm_id, key_owner> owners;
  /** Set when this VM hands its closed keys over. */
  std::optional<key_handover> leaving;
  /** Closed sets of other VMs. */
  std::map<key_set, closed_set> closed;
  /** Who else has closed sets. */
  std::map<key_set, std::map<vm_id, time_point>> holders;
};

/**
 * @brief A call that presents an operation key.
 */
struct operation_call {
  operation_key key;
  std::uint64_t fingerprint{};
  /** Whether another VM has forwarded it. */
  bool forwarded{};
};

/** Only this VM may start the call, and has not yet. */
struct start_operation {};

/** The call has run; this is its answer. */
struct replay_answer {
  const stored_answer* answer{};
};

/** Another VM, at this address, decides. */
struct forward_call {
  vm_id vm;
  std::string address;
};

using operation_verdict =
    std::variant<start_operation, replay_answer, forward_call, failure>;

/** A fresh key and its lifetime. */
struct minted_key {
  std::string text;
  duration lifetime{};
};

/**
 * @brief Mints a key.
 * @param state The operations.
 * @param vm This VM.
 * @param incarnation This process.
 * @param now The time.
 * @return The key, or nothing when the deployment has no key.
 */
[[nodiscard]] std::optional<minted_key> MintKey(operations_state& state,
                                                const vm_id& vm,
                                                std::uint64_t incarnation,
                                                time_point now);

/**
 * @brief Decides what becomes of a call with a genuine key.
 * @param state The operations.
 * @param vm This VM.
 * @param incarnation This process.
 * @param call The call.
 * @param now The time.
 * @return What to do.
 */
[[nodiscard]] operation_verdict JudgeCall(const operations_state& state,
                                          const vm_id& vm,
                                          std::uint64_t incarnation,
                                          const operation_call& call,
                                          time_point now);

/**
 * @brief Marks a key as spent, before its call is started.
 * @return False when the set is full; the call must then not be started.
 */
[[nodiscard]] bool Spend(operations_state& state, const operation_call& call);

/** @brief Keeps the result of a call that has run. */
void StoreResult(operations_state& state,
                 std::uint64_t sequence,
                 operation_result result);

/**
 * @brief Keeps why a call failed.
 *
 * A call that was not run closes its key, too: an earlier call with the key
 * may still be on its way through another VM, and must not run after its
 * caller was told that it did not.
 */
void StoreFailure(operations_state& state,
                  std::uint64_t sequence,
                  const failure& reason);

/** @brief Forgets ended calls whose keys have expired. */
void ExpireOperations(operations_state& state, time_point now);

/**
 * @brief Builds what a VM that has closed hands over.
 *
 * Must only be called once this VM starts no operation any more and none runs.
 */
[[nodiscard]] key_handover CloseKeys(const operations_state& state,
                                     time_point now);

/**
 * @brief Takes a part of another VM's closed set.
 * @return Whether all parts are there.
 */
bool TakeClosedKeys(operations_state& state,
                    const key_set& minter,
                    const closed_keys_part& part,
                    time_point now);

/** @brief Learns which peers have closed sets. */
void LearnHolders(operations_state& state,
                  std::span<const closed_set_holder> sets,
                  time_point now);

/** @return The closed sets that this VM has in full. */
[[nodiscard]] std::vector<key_set> CompleteSets(const operations_state& state,
                                                time_point now);

/** @return The peers that have said lately that they have closed sets. */
[[nodiscard]] std::vector<closed_set_holder> KnownHolders(
    const operations_state& state,
    time_point now);

/** @brief Learns the address of a peer; older incarnations are ignored. */
void LearnOwner(operations_state& state, const peer_discovered& event);

/**
 * @brief Extends a fingerprint by the method and path of a service call.
 * @param fingerprint Hash over workspace, pool and body.
 * @param method HTTP method; empty for completions.
 * @param path Path below the service; empty for completions.
 * @return A hash that differs between calls that may have different effects.
 */
[[nodiscard]] std::uint64_t CallFingerprint(std::uint64_t fingerprint,
                                            std::string_view method,
                                            std::string_view path);

}  // namespace acaciaferry
