#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry::publication {

/** A published document; its value is opaque here. */
struct item {
  std::string value;
  /** Revision of its last change. */
  std::uint64_t revision{};
  /** Whether it disappeared around an outage of the service and may come back,
   * or came back with an older copy of the documents and may be outdated. */
  bool missing{};
  /** Era in which the revision was given out. */
  std::uint64_t era{};

  [[nodiscard]] bool operator==(const item&) const = default;
};

/**
 * @brief The published documents as known by this process.
 *
 * When the service comes back from an older copy, its era rises and it gives
 * out revisions again, so revisions compare within an era only.
 */
struct view {
  std::map<std::string, item> items;
  /** Era of the revisions below; 0 if the service names none. */
  std::uint64_t era{};
  /** Revision up to which the items are known. */
  std::uint64_t revision{};
  /** Revision of the newest change in the items. */
  std::uint64_t last_change_revision{};
};

/** What one VM sends another one of its view. */
struct view_update {
  /** All items, or those that changed. */
  view latest;
  /** If set, `latest` has only the items that changed after this revision of
   * its era. */
  std::optional<std::uint64_t> since;
  /** Keys of the items that were removed after `since`. */
  std::vector<std::string> removed;
};

/** @return A digest of the items of a view, without regard to their order. */
[[nodiscard]] std::uint64_t DigestOf(const view& documents) noexcept;

/**
 * @brief Place of a document among all versions of it, as its writer states it;
 * it compares where revisions don't.
 */
struct document_rank {
  /** Start of the process that it describes, if it describes one. */
  std::uint64_t incarnation{};
  std::uint64_t version{};

  [[nodiscard]] auto operator<=>(const document_rank&) const = default;
};

/** Reads the ranks of documents. */
struct document_ranks {
  /** The lowest rank for a document that can't be read. */
  std::function<document_rank(std::string_view key, std::string_view value)>
      rank_of;
  /** Whether a document is never removed, so that its highest rank holds
   * whatever the revisions say. */
  std::function<bool(std::string_view key)> is_permanent;
  /** Whether a document stays in force when the service comes back from a copy
   * that lacks it. Only an explicit removal ends it, or a listing in the era
   * that it was last confirmed in. Older releases don't read such documents. */
  std::function<bool(std::string_view key)> outlives_copies;
  /** Whether a document says that what it describes is about to end, so that it
   * isn't expected back once it is removed. */
  std::function<bool(std::string_view key, std::string_view value)> is_ending;
};

}  // namespace acaciaferry::publication
