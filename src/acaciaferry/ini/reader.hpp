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
 * @brief Reads the values of one section and collects every fault, so that
 * all of them can be reported at once.
 */
class ini_reader {
 public:
  /**
   * @param section The section to read; must outlive the reader.
   * @param faults Receives the faults.
   */
  ini_reader(const ini_section& section, std::vector<setting_fault>& faults);

  /** @return The text of a key that must be there and not be empty. */
  [[nodiscard]] std::string Text(std::string_view key);

  /** @return The text of a key, or the default when it is absent. */
  [[nodiscard]] std::string TextOr(std::string_view key,
                                   std::string_view default_value);

  /** @return One of the allowed words; the first one after a fault. */
  [[nodiscard]] std::string Word(std::string_view key,
                                 const std::vector<std::string>& allowed);

  /** @return A whole number within [low, high]; low after a fault. */
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

  /** @return The value of `yes` or `no`; false after a fault. */
  [[nodiscard]] bool Flag(std::string_view key);

  /** @return As Flag, or the default when the key is absent. */
  [[nodiscard]] bool FlagOr(std::string_view key, bool default_value);

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

  /** @brief Records a fault about a key whose text was already read. */
  void Fault(std::string_view key, std::string_view allowed);

  /** @brief Records a fault for every key that was never asked for. */
  void RejectUnknownKeys();

 private:
  [[nodiscard]] std::optional<std::string> Find(std::string_view key);
  [[nodiscard]] std::string Heading() const;

  const ini_section& section_;
  std::vector<setting_fault>& faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace acaciaferry
