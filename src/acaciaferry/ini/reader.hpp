#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/**
 * @brief Reads and validates the values of one section. Collects every fault
 * instead of stopping at the first, so that all are reported at once.
 */
class ini_reader {
 public:
  /**
   * @param section The section to read; must outlive the reader.
   * @param faults Receives the faults.
   */
  ini_reader(const ini_section& section, std::vector<setting_fault>& faults);

  /** @return The text of a required, non-empty key; empty after a fault. */
  [[nodiscard]] std::string Text(std::string_view key);

  /** @return The text of a key, or the default when it is absent. */
  [[nodiscard]] std::string TextOr(std::string_view key,
                                   std::string_view default_value);

  /** @return One of the allowed values; the first one after a fault. */
  [[nodiscard]] std::string Choice(std::string_view key,
                                   const std::vector<std::string>& allowed);

  /** @return As Choice, or the first value when the key is absent. */
  [[nodiscard]] std::string ChoiceOrFirst(
      std::string_view key,
      const std::vector<std::string>& allowed);

  /** @return An integer within [low, high]; low after a fault. */
  [[nodiscard]] std::uint64_t Number(std::string_view key,
                                     std::uint64_t low,
                                     std::uint64_t high);

  /** @return As Number, or the default when the key is absent. */
  [[nodiscard]] std::uint64_t NumberOr(std::string_view key,
                                       std::uint64_t default_value,
                                       std::uint64_t low,
                                       std::uint64_t high);

  /** @return A decimal number within [low, high]; low after a fault. */
  [[nodiscard]] double Decimal(std::string_view key, double low, double high);

  /** @return As Decimal, or the default when the key is absent. */
  [[nodiscard]] double DecimalOr(std::string_view key,
                                 double default_value,
                                 double low,
                                 double high);

  /** @return Whether the value is `yes`; false after a fault. Allowed are
   * `yes` and `no`. */
  [[nodiscard]] bool YesNo(std::string_view key);

  /** @return As YesNo, or the default when the key is absent. */
  [[nodiscard]] bool YesNoOr(std::string_view key, bool default_value);

  /** @return A number of milliseconds within [low, high] as a duration. */
  [[nodiscard]] duration Milliseconds(std::string_view key,
                                      std::uint64_t low,
                                      std::uint64_t high);

  /** @return As Milliseconds, or the default when the key is absent. */
  [[nodiscard]] duration MillisecondsOr(std::string_view key,
                                        std::uint64_t default_value,
                                        std::uint64_t low,
                                        std::uint64_t high);

  /** @return An address of the form IP:PORT; empty after a fault. */
  [[nodiscard]] std::string Address(std::string_view key);

  /** @return As Address, or an empty string when the key is absent. */
  [[nodiscard]] std::string AddressOrNone(std::string_view key);

  /** @brief Records a fault in the value of a key. */
  void AddFault(std::string_view key, std::string_view allowed);

  /** @brief Records a fault for every key that was not read before this call.
   */
  void RejectUnknownKeys();

 private:
  [[nodiscard]] std::optional<std::string> Find(std::string_view key);
  [[nodiscard]] std::string Heading() const;

  const ini_section& section_;
  std::vector<setting_fault>& faults_;
  std::set<std::string, std::less<>> requested_keys_;
};

}  // namespace acaciaferry
