#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::publication {

/** One published document; its value is opaque here. */
struct item {
  std::string value;
  /** Revision of its last change. */
  std::uint64_t revision{};
  /** Whether it vanished around an outage of the service and may come back. */
  bool missing{};

  [[nodiscard]] bool operator==(const item&) const = default;
};

/**
 * @brief The published documents as this process knows them.
 */
struct view {
  std::map<std::string, item> items;
  /** Up to which revision the items are known. */
  std::uint64_t revision{};
  /** Revision of the newest change that is contained. */
  std::uint64_t last_change_revision{};
};

/** List the documents below a prefix. */
struct list_request {
  std::string prefix;
  /** Key after which the page begins; empty for the first. */
  std::string after;
  /** Whether an answer that is seconds old will do. */
  bool allow_stale{};
};

/** Wait for changes after a revision. */
struct watch_request {
  std::uint64_t after{};
  /** How long the service waits for a change. */
  duration wait{};
  /** How long after that its answer is waited for. */
  duration grace{};
};

/** Make no call before this time. */
struct wait_until {
  time_point until{};
};

using next_call = std::variant<list_request, watch_request, wait_until>;

/** A page of a listing. */
struct page {
  std::vector<std::pair<std::string, item>> items;
  bool has_more{};
  std::uint64_t revision{};
};

/** A change: an item as it was written, or none when it was removed. */
struct change {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision{};
};

struct changes {
  std::vector<change> events;
  std::uint64_t revision{};
};

/** Why a call brought nothing. */
enum class request_failure {
  /** Turned away, for example over the rate. */
  kRefused,
  /** No answer in time, or a broken one. */
  kSilent,
  /** The history after the revision is gone. */
  kHistoryGone,
};

/** @return A static name of the failure. */
[[nodiscard]] std::string_view ToString(request_failure failure) noexcept;

/**
 * @brief Decides which call to make next to the configuration service, and what
 * to believe of its answers. One call is in flight at a time.
 */
class reader {
 public:
  /**
   * @param prefixes What is listed; everything else is ignored.
   * @param seed Of the jitter.
   */
  reader(std::vector<std::string> prefixes, std::uint64_t seed);

  /**
   * @brief Lets watches wait for a short time instead of a long one.
   *
   * After an outage of the service a watch may wait on a connection that brings
   * nothing any more, and only the end of its wait shows that. Some VMs of a
   * fleet use short waits, so that they notice it within the bound on
   * configuration; the others learn changes from them.
   */
  void SetShortWatches(bool are_short) noexcept { short_watches_ = are_short; }

  /** @return The call to make now, or how long to wait. */
  [[nodiscard]] next_call Next(time_point now);

  /** @brief Takes an answer. @return Whether the view has changed. */
  bool HandleResult(const page& answer, time_point now);
  bool HandleResult(const changes& answer, time_point now);
  /** @brief Takes a failure of the call in flight. */
  void HandleResult(request_failure failure, time_point now);

  /**
   * @brief Takes the view of a peer when it contains newer changes.
   * @return Whether the view has changed.
   */
  bool Adopt(const view& peers, time_point now);

  /** @brief Drops what was held back until now. @return Whether any was. */
  bool Expire(time_point now);

  [[nodiscard]] const view& View() const noexcept { return view_; }
  /** @return Whether the last call was answered. */
  [[nodiscard]] bool InContact() const noexcept { return failures_ == 0; }
  /** @return When the service last answered; nothing before it did. */
  [[nodiscard]] std::optional<time_point> LastResponseTime() const noexcept {
    return last_answer_;
  }
  /** @return When Expire has something to do next. */
  [[nodiscard]] std::optional<time_point> NextExpiry() const;

 private:
  [[nodiscard]] bool OutageIsRecent(time_point now) const;
  bool Remove(const std::string& key, time_point now);
  bool FinishListing(time_point now);
  void Answered(time_point now);
  [[nodiscard]] bool IsWanted(const std::string& key) const;

  std::vector<std::string> prefixes_;
  random_engine random_;
  view view_;
  bool short_watches_{true};
  bool listing_{true};
  bool stale_will_do_{true};
  std::size_t prefix_{};
  std::string after_;
  view collected_;
  std::uint32_t failures_{};
  time_point not_before_{};
  std::optional<time_point> last_answer_;
  std::optional<time_point> outage_ended_;
  /** Items that vanished around an outage, and when they are dropped. */
  std::map<std::string, time_point> missing_;
};

}  // namespace acaciaferry::publication
