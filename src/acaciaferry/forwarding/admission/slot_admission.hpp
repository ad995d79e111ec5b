#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/admission/decayed_count.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"

namespace acaciaferry::forwarding {

/** A call that needs a slot. */
struct slot_demand {
  /** The dispatch that its next attempt will be. */
  dispatch_id key{};
  pool_id pool;
  workspace_id workspace;
  /** Hash of path, caller and body; 0 if unknown. */
  std::uint64_t fingerprint{};
  bool is_long{};
  time_point arrived{};
  /** For how much longer it can wait for a slot and be in time. */
  duration max_wait{};
  /** Longest time after which its caller returns if it is refused. */
  duration longest_return{};
  /** When it ends at the latest. */
  time_point deadline{};
};

/** The slots that a call may get. */
struct slot_supply {
  /** Slots of its targets on which this VM may count. */
  double slots{};
  /** Dispatches that hold slots or wait for them. */
  held_slots held;
  /** Number of VMs that decide on calls of the pool, as far as known. */
  std::size_t deciders{1};
  /** Duration of a dispatch while none has been observed. */
  duration usual_hold{};
};

/** Why a call was refused. */
enum class slot_refusal {
  /** No slot becomes free in time. */
  kNoSlot,
  /** As above, and the workspace took more than its share. */
  kWorkspaceShare,
  /** As above, and the caller returned much earlier than told. */
  kReturnedEarly,
  /** There is a slot, but the prompts that wait there are read first. */
  kPrefill
};

inline constexpr std::size_t kSlotRefusalCount =
    static_cast<std::size_t>(slot_refusal::kPrefill) + 1;

/** @return A static name of the reason, for logs and metrics. */
[[nodiscard]] std::string_view ToString(slot_refusal why) noexcept;

/** The call may be placed now. */
struct slot_granted {};

/** The call waits and is decided on again after some time. */
struct slot_awaited {
  duration wait{};
};

/** The call can't be in time. */
struct slot_refused {
  slot_refusal why{};
  /** When the caller may return. */
  duration retry_after{};
  /** Predicted wait for a slot. */
  duration predicted{};
  /** Calls that go before this one. */
  std::size_t ahead{};
};

using slot_verdict = std::variant<slot_granted, slot_awaited, slot_refused>;

/** What has been decided since the start. */
struct slot_counts {
  /** Decisions made while slots were scarce. */
  std::uint64_t scarce{};
  /** Calls that got a slot after they had waited. */
  std::uint64_t admitted_after_wait{};
  /** Calls that were refused before, returned when told and got a slot. */
  std::uint64_t admitted_on_return{};
  std::array<std::uint64_t, kSlotRefusalCount> refusals{};
};

/**
 * @brief Decides who gets the slots of a pool when they are scarce.
 *
 * A call gets a free slot unless calls that go before it wait for one.
 * Otherwise it waits as long as a slot can be predicted to be free while the
 * call is still in time, and is refused at once if not. Calls go in this order:
 * those of workspaces that had no more than an equal share, for which slots are
 * kept that they are expected to need; callers that were
 * refused and return when told, then new ones, then those that return much
 * earlier; then those of the workspace with the smaller share; then by arrival.
 * Short and long prompts wait separately: the class that holds less than half
 * of the slots goes first.
 */
class slot_admission {
 public:
  explicit slot_admission(std::uint64_t seed) : random_(seed) {}
  // Refused callers refer to places in a list.
  slot_admission(const slot_admission&) = delete;
  slot_admission& operator=(const slot_admission&) = delete;
  slot_admission(slot_admission&&) = default;
  slot_admission& operator=(slot_admission&&) = default;
  ~slot_admission() = default;

  /** @brief Decides on a call; a call that waits is decided on again. */
  [[nodiscard]] slot_verdict Decide(const slot_demand& demand,
                                    const slot_supply& supply,
                                    time_point now);

  /** @brief Refuses a call that could get a slot but would be late there. */
  [[nodiscard]] slot_refused RefuseLate(const slot_demand& demand,
                                        const slot_supply& supply,
                                        time_point now);

  /** @return Whether a call's caller was refused several times and has returned
   * when told. It is served though late, rather than refused again. */
  [[nodiscard]] bool IsOwed(const slot_demand& demand) const;

  /** @brief Records that a call was placed by this VM.
   * @param first_event Predicted time to its first event; 0 if unknown. */
  void RecordPlaced(const slot_demand& demand,
                    duration first_event,
                    time_point now);
  /** @brief Records that another VM has placed a call. */
  void RecordPlacedElsewhere(const pool_id& pool, time_point now);
  /** @brief Records that a dispatch has ended that held a slot for a time. */
  void RecordFreed(const pool_id& pool,
                   dispatch_id key,
                   duration held,
                   time_point now);

  /** @brief Frees the slot of a dispatch without counting its duration, as that
   * of a dispatch whose process is lost. */
  void EndPlaced(dispatch_id key);
  /** @return The dispatches that this VM has placed and that hold slots. */
  [[nodiscard]] std::vector<dispatch_id> PlacedDispatches() const;

  /** @return The slots of a pool that calls hold which this VM has placed. */
  [[nodiscard]] held_slots HeldByPlaced(const pool_id& pool) const;
  /** @return Whether calls of a pool wait for slots. */
  [[nodiscard]] bool IsAnyWaiting(const pool_id& pool) const;
  /** @return Mean time for which a dispatch holds a slot.
   * @param usual Used as long as few have ended. */
  [[nodiscard]] duration MeanHold(const pool_id& pool,
                                  duration usual,
                                  time_point now) const;

  /** @return Mean predicted time to the first event of the short prompts that
   * this VM has placed lately; 0 if there were none. */
  [[nodiscard]] duration MeanFirstEvent(const pool_id& pool,
                                        time_point now) const;

  /** @brief Forgets what is out of date. */
  void Expire(time_point now);

  [[nodiscard]] const slot_counts& Counts() const noexcept { return counts_; }
  /** @return Number of calls that wait for slots. */
  [[nodiscard]] std::size_t WaitingCount() const;
  /** @return Number of refused callers that may be recognised. */
  [[nodiscard]] std::size_t RememberedCount() const noexcept {
    return refused_.size();
  }

 private:
  /** What a workspace got of a pool. */
  struct workspace_use {
    decayed_count asked;
    decayed_count admitted;
    /** Slots that it holds through this VM. */
    std::uint32_t held{};
    time_point last_asked{};
    /** When its next refused caller may return. */
    time_point promised{};
  };

  enum class caller_kind { kReturned, kNew, kEarly };

  /** The order in which calls get slots; the least goes first. */
  struct admission_order {
    bool over_share{};
    caller_kind caller{caller_kind::kNew};
    /** Admissions of its workspace in quarters of an equal share. */
    int share_quarters{};
    time_point arrived{};
    dispatch_id key{};

    [[nodiscard]] auto operator<=>(const admission_order&) const = default;
  };

  struct waiting_call {
    bool is_long{};
    /** As it was when the call was last decided on. */
    admission_order order;
    /** It has ended, or is placed elsewhere, if it isn't asked for again by
     * then. */
    time_point lapses_at{};
  };

  /** Calls that wait besides the one that is decided on. */
  struct waiting_count {
    /** Of its class, those that go before it. */
    std::size_t ahead{};
    std::size_t other_class{};
  };

  struct fair_share {
    double admitted{};
    std::size_t workspaces{1};
  };

  struct pool_use {
    std::map<workspace_id, workspace_use> workspaces;
    std::map<dispatch_id, waiting_call> waiting;
    held_slots held;
    /** Calls placed by this VM, and by all of which it hears. */
    decayed_count placed_here;
    decayed_count placed;
    decayed_count ended;
    /** Seconds for which the ended dispatches held their slots. */
    decayed_count held_s;
    /** As `ended`, in a short time. */
    decayed_count just_ended{kShortWindowS};
    /** Short prompts that this VM has placed, and their predicted seconds to
     * the first event. */
    decayed_count predicted{kShortWindowS};
    decayed_count first_event_s{kShortWindowS};
    /** As calculated at `share_at`. */
    fair_share share;
    double kept_for_others{};
    time_point share_at{};
  };

  static constexpr double kShortWindowS = 0.2;

  /** A dispatch that was placed by this VM. */
  struct placed_dispatch {
    pool_id pool;
    workspace_id workspace;
    bool is_long{};
    /** Its end was lost if it hasn't come by then. */
    time_point lapses_at{};
  };

  /** A caller that was told when to return. */
  struct refused_caller {
    time_point told_at{};
    time_point returns_at{};
    /** The call with which it returned. */
    dispatch_id returned_as{};
    std::uint32_t refusals{};
    /** In `refused_order_`. */
    std::list<std::uint64_t>::iterator place;
  };

  [[nodiscard]] static fair_share ShareOf(const pool_use& pool, time_point now);
  [[nodiscard]] static admission_order OrderOf(const workspace_use& use,
                                               const fair_share& share,
                                               const slot_demand& demand,
                                               caller_kind caller,
                                               time_point now);
  [[nodiscard]] static double MeanHoldS(const pool_use& pool,
                                        duration usual,
                                        time_point now);
  [[nodiscard]] static double PlacementShare(const pool_use& pool,
                                             const slot_supply& supply,
                                             time_point now);
  [[nodiscard]] static double FreedPerS(const pool_use& pool,
                                        const slot_supply& supply,
                                        time_point now);
  [[nodiscard]] static double KeptForOthers(const pool_use& pool,
                                            const fair_share& share,
                                            const slot_supply& supply,
                                            time_point now);
  workspace_use* UseOf(pool_use& pool, const workspace_id& workspace);
  [[nodiscard]] caller_kind ClassifyCaller(const slot_demand& demand,
                                           time_point now);
  static void RefreshShare(pool_use& pool,
                           const slot_supply& supply,
                           time_point now);
  [[nodiscard]] static waiting_count CountWaiting(const pool_use& pool,
                                                  const slot_demand& demand,
                                                  const admission_order& order);
  [[nodiscard]] static double MissingSlots(const pool_use& pool,
                                           const slot_demand& demand,
                                           const slot_supply& supply,
                                           bool over_share,
                                           const waiting_count& waiting,
                                           time_point now);
  [[nodiscard]] slot_awaited Await(pool_use& pool,
                                   const slot_demand& demand,
                                   const admission_order& order,
                                   duration predicted,
                                   duration max_wait,
                                   time_point now);
  [[nodiscard]] slot_refused Refuse(const slot_demand& demand,
                                    const slot_supply& supply,
                                    workspace_use& use,
                                    slot_refusal why,
                                    duration predicted,
                                    time_point now);
  [[nodiscard]] duration AssignReturnTime(const slot_demand& demand,
                                          workspace_use& workspace,
                                          duration predicted,
                                          duration spacing,
                                          time_point now);
  void RecordRefusal(const slot_demand& demand,
                     duration retry_after,
                     time_point now);

  std::map<pool_id, pool_use> pools_;
  std::unordered_map<dispatch_id, placed_dispatch> placed_;
  /** By fingerprint; bounded. */
  std::unordered_map<std::uint64_t, refused_caller> refused_;
  /** Fingerprints in the order in which they were refused. */
  std::list<std::uint64_t> refused_order_;
  random_engine random_;
  slot_counts counts_;
};

}  // namespace acaciaferry::forwarding
