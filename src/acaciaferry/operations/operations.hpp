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
 * @brief The process of a peer that may have minted keys.
 */
struct key_owner {
  std::uint64_t incarnation{};
  std::string callers_address;
};

/**
 * @brief The operation keys of this process, and what is known of the keys of
 * others.
 *
 * An operation is a non-idempotent call that runs under a key at most once.
 * Holds at most 16,384 spent keys and 16 MiB of answers. A spent key is never
 * removed before it expires: when the set is full, new operations are refused.
 */
struct operations_state {
  /** The deployment's secret, which authenticates keys; empty if there is
   * none. */
  std::string secret;
  std::uint64_t next_sequence{1};
  /** By sequence number, which is also the order of expiry. */
  std::map<std::uint64_t, spent_key> spent_keys;
  /** Size of the bodies of the stored answers. */
  std::size_t answer_bytes{};
  /** The latest incarnation of each peer; at most 4,096 peers, those with the
   * highest incarnations. */
  std::unordered_map<vm_id, key_owner> key_owners;
  /** Set while this VM hands its closed keys over. */
  std::optional<key_handover> handover;
  /** The closed sets of other VMs that this VM holds. */
  std::map<key_set_id, closed_set> closed_sets;
  /** The peers that hold closed sets, and when they last announced it. */
  std::map<key_set_id, std::map<vm_id, time_point>> closed_set_holders;
};

/**
 * @brief A call that presents an operation key.
 */
struct operation_call {
  operation_key key;
  std::uint64_t fingerprint{};
  /** Whether another VM forwarded the call. */
  bool forwarded{};
};

/** The call may be started; only this VM may do so. */
struct start_operation {};

/** The call has run; its stored answer is delivered again. */
struct replay_answer {
  const stored_answer* answer{};
};

/** The call is forwarded to another VM. */
struct forward_call {
  vm_id vm;
  std::string address;
};

using operation_verdict =
    std::variant<start_operation, replay_answer, forward_call, failure>;

/** A new key and its lifetime. */
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
 * @return The key, or nothing if the deployment has no secret.
 */
[[nodiscard]] std::optional<minted_key> MintKey(operations_state& state,
                                                const vm_id& vm,
                                                std::uint64_t incarnation,
                                                time_point now);

/**
 * @brief Decides how to handle a call with a genuine key.
 * @param state The operations.
 * @param vm This VM.
 * @param incarnation This process.
 * @param call The call.
 * @param now The time.
 * @return What to do.
 */
[[nodiscard]] operation_verdict ResolveCall(const operations_state& state,
                                            const vm_id& vm,
                                            std::uint64_t incarnation,
                                            const operation_call& call,
                                            time_point now);

/**
 * @brief Marks a key as spent, before its call is started.
 * @return False if the set is full; the call must then not be started.
 */
[[nodiscard]] bool MarkSpent(operations_state& state,
                             const operation_call& call);

/** @brief Stores the result of a call that has run. */
void StoreResult(operations_state& state,
                 std::uint64_t sequence,
                 operation_result result);

/**
 * @brief Stores the failure of a call.
 *
 * The key of a call that was not run stays spent as well: an earlier call with
 * the key may still arrive through another VM, and must not run after its
 * caller was told that the call did not run.
 */
void StoreFailure(operations_state& state,
                  std::uint64_t sequence,
                  const failure& reason);

/** @brief Removes the records of ended calls whose keys have expired. */
void ExpireOperations(operations_state& state, time_point now);

/**
 * @brief Builds the hand-over of this VM's keys to its peers.
 *
 * Must be called only when no operation runs and this VM starts no more.
 */
[[nodiscard]] key_handover BuildKeyHandover(const operations_state& state,
                                            time_point now);

/**
 * @brief Adds a received part to another VM's closed set.
 * @return Whether all parts have arrived.
 */
bool MergeClosedKeys(operations_state& state,
                     const key_set_id& minter,
                     const closed_keys_part& part,
                     time_point now);

/** @brief Records which peers announced that they hold closed sets. */
void UpdateClosedSetHolders(operations_state& state,
                            std::span<const closed_set_holder> sets,
                            time_point now);

/** @return The closed sets of which this VM holds all parts. */
[[nodiscard]] std::vector<key_set_id> CompleteClosedSets(
    const operations_state& state,
    time_point now);

/** @return The peers that recently announced that they hold closed sets. */
[[nodiscard]] std::vector<closed_set_holder> RecentClosedSetHolders(
    const operations_state& state,
    time_point now);

/** @brief Records the address of a peer; older incarnations are ignored. */
void UpdateKeyOwner(operations_state& state, const peer_discovered& event);

/**
 * @brief Combines a request's fingerprint with the method and path of a service
 * call.
 * @param fingerprint Hash over workspace, pool and body.
 * @param method HTTP method; empty for completions.
 * @param path Path below the service; empty for completions.
 * @return A hash that differs between calls that may have different effects.
 */
[[nodiscard]] std::uint64_t CallFingerprint(std::uint64_t fingerprint,
                                            std::string_view method,
                                            std::string_view path);

}  // namespace acaciaferry
