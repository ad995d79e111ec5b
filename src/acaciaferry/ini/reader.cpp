#include "acaciaferry/ini/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace acaciaferry {
namespace internal {

template <typename Value>
std::optional<Value> ParseNumber(std::string_view text) {
  Value value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return value;
}

std::string FormatRange(const std::string& low, const std::string& high) {
  return low + " to " + high;
}

std::string FormatDecimal(double value) {
  std::array<char, 32> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return {digits.data(), end.ptr};
}

bool IsSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  const std::string_view host = text.substr(0, colon);
  const bool host_is_ip =
      host.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
      std::string_view::npos;
  return port.has_value() && host_is_ip;
}

}  // namespace internal

ini_reader::ini_reader(const ini_section& section,
                       std::vector<setting_fault>& faults)
    : section_(section), faults_(faults) {}

std::string ini_reader::Heading() const {
  return section_.label.empty() ? section_.kind
                                : section_.kind + "." + section_.label;
}

std::optional<std::string> ini_reader::Find(std::string_view key) {
  requested_keys_.emplace(key);
  const auto entry =
      std::find_if(section_.entries.begin(), section_.entries.end(),
                   [key](const ini_entry& e) { return e.key == key; });
  if (entry == section_.entries.end()) {
    return std::nullopt;
  }
  return entry->value;
}

void ini_reader::AddFault(std::string_view key, std::string_view allowed) {
  const auto value = Find(key);
  faults_.push_back({Heading(), std::string(key), value.value_or("(missing)"),
                     std::string(allowed)});
}

std::string ini_reader::Text(std::string_view key) {
  auto value = Find(key);
  if (!value || value->empty()) {
    AddFault(key, "a text that is not empty");
    return "";
  }
  return *std::move(value);
}

std::string ini_reader::TextOr(std::string_view key,
                               std::string_view default_value) {
  return Find(key).value_or(std::string(default_value));
}

std::string ini_reader::Choice(std::string_view key,
                               const std::vector<std::string>& allowed) {
  auto value = Find(key);
  if (value &&
      std::find(allowed.begin(), allowed.end(), *value) != allowed.end()) {
    return *std::move(value);
  }
  std::string list;
  for (const std::string& choice : allowed) {
    list += (list.empty() ? "" : ", ") + choice;
  }
  AddFault(key, "one of " + list);
  return allowed.front();
}

std::string ini_reader::ChoiceOrFirst(std::string_view key,
                                      const std::vector<std::string>& allowed) {
  return Find(key) ? Choice(key, allowed) : allowed.front();
}

std::uint64_t ini_reader::Number(std::string_view key,
                                 std::uint64_t low,
                                 std::uint64_t high) {
  const auto text = Find(key);
  const auto value =
      text ? internal::ParseNumber<std::uint64_t>(*text) : std::nullopt;
  if (!value || *value < low || *value > high) {
    AddFault(key, "a whole number from " +
                      internal::FormatRange(std::to_string(low),
                                            std::to_string(high)));
    return low;
  }
  return *value;
}

std::uint64_t ini_reader::NumberOr(std::string_view key,
                                   std::uint64_t default_value,
                                   std::uint64_t low,
                                   std::uint64_t high) {
  return Find(key) ? Number(key, low, high) : default_value;
}

double ini_reader::Decimal(std::string_view key, double low, double high) {
  const auto text = Find(key);
  const auto value = text ? internal::ParseNumber<double>(*text) : std::nullopt;
  // The negated comparison also rejects NaN.
  if (!value || !(*value >= low && *value <= high)) {
    AddFault(key, "a number from " +
                      internal::FormatRange(internal::FormatDecimal(low),
                                            internal::FormatDecimal(high)));
    return low;
  }
  return *value;
}

double ini_reader::DecimalOr(std::string_view key,
                             double default_value,
                             double low,
                             double high) {
  return Find(key) ? Decimal(key, low, high) : default_value;
}

bool ini_reader::YesNo(std::string_view key) {
  return Choice(key, {"no", "yes"}) == "yes";
}

bool ini_reader::YesNoOr(std::string_view key, bool default_value) {
  return Find(key) ? YesNo(key) : default_value;
}

duration ini_reader::Milliseconds(std::string_view key,
                                  std::uint64_t low,
                                  std::uint64_t high) {
  return std::chrono::milliseconds(Number(key, low, high));
}

duration ini_reader::MillisecondsOr(std::string_view key,
                                    std::uint64_t default_value,
                                    std::uint64_t low,
                                    std::uint64_t high) {
  return std::chrono::milliseconds(NumberOr(key, default_value, low, high));
}

std::string ini_reader::Address(std::string_view key) {
  const auto text = Find(key);
  if (!text || !internal::IsSocketAddress(*text)) {
    AddFault(key, "an address of the form IP:PORT");
    return "";
  }
  return *text;
}

std::string ini_reader::AddressOrNone(std::string_view key) {
  return Find(key) ? Address(key) : "";
}

void ini_reader::RejectUnknownKeys() {
  for (const ini_entry& entry : section_.entries) {
    if (!requested_keys_.contains(entry.key)) {
      faults_.push_back(
          {Heading(), entry.key, entry.value, "no such key in this section"});
    }
  }
}

}  // namespace acaciaferry
