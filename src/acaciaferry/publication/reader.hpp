#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/publication/view.hpp"

namespace acaciaferry::publication {

/** List the documents with a prefix. */
struct list_request {
  std::string prefix;
  /** Key after which the page begins; empty for the first page. */
  std::string after;
};

/** Wait for changes after a revision. */
struct watch_request {
  std::uint64_t after{};
  /** How long the service waits for a change. */
  duration wait{};
  /** How long after `wait` the response times out. */
  duration grace{};
};

/** Make no request before this time. */
struct wait_until {
  time_point until{};
};

using next_action = std::variant<list_request, watch_request, wait_until>;

/** A page of a listing. */
struct page {
  std::vector<std::pair<std::string, item>> items;
  bool has_more{};
  std::uint64_t revision{};
  /** Era of the service that responded; 0 if it names none. */
  std::uint64_t era{};
};

/** A change to an item: its new value, or none if it was removed. */
struct change {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision{};
};

struct changes {
  std::vector<change> events;
  std::uint64_t revision{};
  /** Era of the service that responded; 0 if it names none. */
  std::uint64_t era{};
};

/** Why a request failed. */
enum class request_failure {
  /** Rejected, for example by a rate limit. */
  kRefused,
  /** No response in time, or a malformed one. */
  kSilent,
  /** The history after the requested revision is no longer available. */
  kHistoryGone,
  /** The response is of an earlier era than one that is known. */
  kOutdated,
};

/** @return A static name of the failure. */
[[nodiscard]] std::string_view ToString(request_failure failure) noexcept;

/**
 * @brief Keeps a view of the published documents up to date: decides which
 * request to send next to the configuration service and applies its responses.
 * One request is in flight at a time.
 */
class reader {
 public:
  /**
   * @param prefixes Prefixes of the documents to read; others are ignored.
   * @param seed For the backoff jitter.
   * @param ranks Without its functions, all documents have the same rank and
   * none is permanent.
   */
  reader(std::vector<std::string> prefixes,
         std::uint64_t seed,
         document_ranks ranks = {});

  /**
   * @brief Selects short or long waits for watches.
   *
   * After an outage of the service a watch may wait on a dead connection, which
   * only shows at the end of its wait. Some VMs of a fleet use short waits, so
   * that they notice this within the bound on configuration; the others learn
   * of changes from them.
   */
  void SetShortWatches(bool are_short) noexcept { short_watches_ = are_short; }

  /** @return The request to send now, or the time to wait until. */
  [[nodiscard]] next_action Next(time_point now);

  /** @brief Applies a response. @return Whether the view has changed. */
  bool HandleResult(const page& response, time_point now);
  bool HandleResult(const changes& response, time_point now);
  /** @brief Processes a failure of the request in flight. */
  void HandleResult(request_failure failure, time_point now);

  /**
   * @brief Replaces the view by that of a peer if it contains newer changes.
   * From an older one it takes documents of a higher rank only, and those that
   * outlive copies: the service may have come back without them.
   * @param is_complete Whether the peer knows all documents. One of an older
   * release doesn't know those that outlive copies.
   * @return Whether the view has changed.
   */
  bool Adopt(const view_update& update,
             time_point now,
             bool is_complete = true);

  /**
   * @brief Replaces the items by those of a peer whose view is at the same
   * position, and differs nevertheless.
   * @param is_complete See Adopt.
   * @return Whether the view has changed.
   */
  bool Repair(const view& peer_view, time_point now, bool is_complete = true);

  /**
   * @brief Tells a peer what has changed.
   * @param era The era of the peer's view.
   * @param revision Its last_change_revision.
   * @return The changes, or the whole view if not all of them are remembered.
   */
  [[nodiscard]] view_update UpdateSince(std::uint64_t era,
                                        std::uint64_t revision) const;

  /** @brief Forgets the request in flight, if there is one, and earlier
   * failures: from now on the view follows those of peers. */
  void StopRequests(time_point now);

  /** @brief Ends the grace periods that are over: items that disappeared are
   * removed, items that came back with an older copy are valid. @return Whether
   * the view has changed. */
  bool Expire(time_point now);

  [[nodiscard]] const view& View() const noexcept { return view_; }
  /** @return Whether a listing, or the view of a peer that knows all documents,
   * has been taken. */
  [[nodiscard]] bool HasAllDocuments() const noexcept { return has_all_; }
  /** @return Whether all documents are known up to the view's position. They
   * are not after changes of a peer that doesn't know all documents, until the
   * service or another peer is heard. */
  [[nodiscard]] bool IsComplete() const noexcept {
    return has_all_ && !complete_until_;
  }
  /** @return Whether no request has failed since the last response. */
  [[nodiscard]] bool LastRequestSucceeded() const noexcept {
    return consecutive_failures_ == 0;
  }
  /** @return When a response of the service last brought the view up to date;
   * nothing before it did. */
  [[nodiscard]] std::optional<time_point> LastResponseTime() const noexcept {
    return last_response_;
  }
  /** @return Number of items that disappeared around an outage and are kept. */
  [[nodiscard]] std::size_t MissingCount() const noexcept {
    return missing_.size();
  }
  /** @return When Expire is due next. It changes with each response, failure
   * and view of a peer, and with Expire. */
  [[nodiscard]] std::optional<time_point> NextExpiry() const;
  /** @return Keys of documents that were not taken since the last call, since
   * a higher rank of them is known. */
  [[nodiscard]] std::vector<std::string> TakeOutrankedKeys() {
    return std::exchange(outranked_keys_, {});
  }

 private:
  /** A document that was removed. */
  struct removed_item {
    item last;
    /** Era of the view that it was removed from. */
    std::uint64_t era{};
    time_point removed_at{};
  };
  /** Where documents come from. */
  enum class document_source { kService, kCompletePeer, kIncompletePeer };
  /** How it became known that a document is not there any more. */
  enum class absence {
    /** A watch has reported the removal. */
    kReported,
    /** A listing or the whole view of a peer lacks it. */
    kUnlisted,
    /** A peer has removed it. */
    kRemovedByPeer,
  };
  /** Time for which an item is kept. */
  struct grace_period {
    time_point since{};
    time_point until{};
  };
  using grace_periods = std::map<std::string, grace_period>;

  [[nodiscard]] bool WasOutage(time_point now) const;
  void EndFailures(time_point now);
  void RecordPeerNews(time_point now);
  void ExtendHeldPeriods(time_point now);
  [[nodiscard]] bool IsHeld(const grace_period& each) const;
  [[nodiscard]] bool MayComeBack(const std::string& key,
                                 absence how,
                                 time_point now) const;
  [[nodiscard]] bool IsRemovedHere(const std::string& key,
                                   const item& value) const;
  [[nodiscard]] bool IsPermanent(const std::string& key) const;
  [[nodiscard]] bool OutlivesCopies(const std::string& key) const;
  [[nodiscard]] bool IsGone(const std::string& key,
                            const item& value,
                            document_source from) const;
  [[nodiscard]] bool EndsUnlisted(const std::string& key,
                                  const item& known,
                                  const view& newer,
                                  document_source from) const;
  [[nodiscard]] std::uint64_t CompleteRevision() const noexcept {
    return complete_until_.value_or(view_.revision);
  }
  [[nodiscard]] document_rank RankOf(const std::string& key,
                                     const std::string& value) const;
  [[nodiscard]] bool Supersedes(const std::string& key,
                                const item& value,
                                const item& known) const;
  bool TakeItem(const std::string& key,
                item value,
                time_point now,
                document_source from);
  bool AddItem(const std::string& key,
               item value,
               time_point now,
               document_source from);
  bool RemoveItem(const std::string& key, absence how, time_point now);
  void EraseItem(const std::string& key, time_point now);
  bool ReplaceView(const view& newer, time_point now, document_source from);
  bool TakeHigherRanks(const view& older, time_point now, document_source from);
  bool AdoptWhole(const view& peer_view, time_point now, document_source from);
  bool AdoptChanges(const view_update& update,
                    time_point now,
                    document_source from);
  void RaiseCompleteRevision(std::uint64_t revision);
  void LogChange(const std::string& key, std::uint64_t revision);
  void ClearChangeLog();
  /** @return Whether a response is of a later era than the known one, which is
   * then the known one. */
  bool EnterEra(std::uint64_t era, time_point now);
  void StartListing();
  void DelayListing(time_point now);
  bool FinishListing(time_point now);
  void RecordResponse(time_point now);
  [[nodiscard]] bool IsWatched(const std::string& key) const;

  std::vector<std::string> prefixes_;
  random_engine random_;
  document_ranks ranks_;
  view view_;
  /** Whether the view had all documents once. */
  bool has_all_{};
  /** Revision up to which all documents are known, if a peer that doesn't know
   * all of them has told what is newer. */
  std::optional<std::uint64_t> complete_until_;
  /** Latest era that was heard of; the view may still be of an earlier one. */
  std::uint64_t era_{};
  /** Era of the view when the watch in flight was sent. */
  std::uint64_t watch_era_{};
  bool short_watches_{true};
  bool listing_{true};
  std::size_t prefix_index_{};
  std::string page_after_;
  view listed_;
  std::uint32_t consecutive_failures_{};
  time_point not_before_{};
  std::optional<time_point> last_response_;
  /** When the watch in flight was sent, if it is a long one. */
  std::optional<time_point> long_watch_sent_;
  /** Since when the service may be away, as the failures since the last
   * response say. */
  std::optional<time_point> failing_since_;
  /** When a peer last had a newer view. */
  std::optional<time_point> peer_news_at_;
  /** When the service was first heard after the last outage. */
  std::optional<time_point> outage_ended_;
  /** Items that disappeared around an outage, and until when they are kept. */
  grace_periods missing_;
  /** Items that had been removed and came back with an older copy, and when
   * they are valid if they are not removed again. */
  grace_periods returning_;
  std::map<std::string, removed_item> removed_;
  std::vector<std::string> outranked_keys_;
  /** The latest changes: revisions, ascending, and keys. */
  std::deque<std::pair<std::uint64_t, std::string>> change_log_;
  /** Revision after which the log has all changes. */
  std::uint64_t change_log_since_{};
};

}  // namespace acaciaferry::publication
