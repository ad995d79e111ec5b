#pragma once

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

#include "acaciaferry/peer/codec.hpp"

namespace acaciaferry::internal {

inline constexpr std::size_t kMaxNameBytes = 256;
inline constexpr std::size_t kMaxModels = 64;
inline constexpr std::uint64_t kMaxAgeMs = 3'600'000;

using packer = msgpack::packer<msgpack::sbuffer>;

// Thrown for a payload that is valid MessagePack but no valid message.
struct malformed_error {};

// Calls the visitor with the number and value of each field. Reading and
// writing share the field lists in codec.cpp.
template <typename Visitor, typename Value>
void VisitFields(Visitor& visit, Value& value);

inline std::uint64_t ToAgeMs(duration age) noexcept {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return std::clamp<std::uint64_t>(
      static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)), 0,
      kMaxAgeMs);
}

// Writes a message body as a map; fields with default values are omitted.
class field_writer {
 public:
  explicit field_writer(packer& out) : out_(out) {}

  template <typename Value>
  void operator()(std::uint64_t number, const Value& value) {
    if (value == Value{}) {
      return;
    }
    if (counting_) {
      ++count_;
      return;
    }
    out_.pack(number);
    Write(value);
  }

  template <typename Value>
  void WriteMap(const Value& value) {
    field_writer counter(out_);
    counter.counting_ = true;
    VisitFields(counter, value);
    out_.pack_map(static_cast<std::uint32_t>(counter.count_));
    VisitFields(*this, value);
  }

 private:
  void Write(bool value) { out_.pack(value); }
  void Write(std::uint32_t value) { out_.pack(value); }
  void Write(std::uint64_t value) { out_.pack(value); }
  // Single precision is enough for rates and weights.
  void Write(double value) { out_.pack(static_cast<float>(value)); }
  void Write(const std::string& value) { out_.pack(value); }
  void Write(duration value) { out_.pack(ToAgeMs(value)); }
  void Write(vm_role value) { out_.pack(static_cast<std::uint64_t>(value)); }
  void Write(outcome value) { out_.pack(static_cast<std::uint64_t>(value)); }
  void Write(closed_key_result value) {
    out_.pack(static_cast<std::uint64_t>(value));
  }
  void Write(target_phase value) {
    out_.pack(static_cast<std::uint64_t>(value));
  }

  template <typename Tag>
  void Write(const name<Tag>& value) {
    out_.pack(value.value);
  }

  template <typename Item>
  void Write(const std::vector<Item>& items) {
    out_.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const Item& item : items) {
      if constexpr (std::is_same_v<Item, std::string>) {
        Write(item);
      } else {
        field_writer(out_).WriteMap(item);
      }
    }
  }

  packer& out_;
  bool counting_{};
  std::size_t count_{};
};

// Reads a message body from a map. Absent fields keep their defaults; unknown
// fields are counted.
class field_reader {
 public:
  field_reader(const msgpack::object& map, std::size_t& unknown)
      : unknown_(unknown) {
    if (map.type != msgpack::type::MAP) {
      throw malformed_error{};
    }
    fields_ = {map.via.map.ptr, map.via.map.size};
  }

  template <typename Value>
  void operator()(std::uint64_t number, Value& value) {
    for (const msgpack::object_kv& field : fields_) {
      const bool is_number = field.key.type == msgpack::type::POSITIVE_INTEGER;
      if (is_number && field.key.via.u64 == number) {
        Read(field.val, value);
        ++used_;
        return;
      }
    }
  }

  template <typename Value>
  static void ReadMap(const msgpack::object& map,
                      Value& value,
                      std::size_t& unknown) {
    field_reader reader(map, unknown);
    VisitFields(reader, value);
    unknown += reader.fields_.size() - reader.used_;
  }

 private:
  static void Read(const msgpack::object& from, bool& value) {
    value = from.as<bool>();
  }
  static void Read(const msgpack::object& from, std::uint32_t& value) {
    value = from.as<std::uint32_t>();
  }
  static void Read(const msgpack::object& from, std::uint64_t& value) {
    value = from.as<std::uint64_t>();
  }
  static void Read(const msgpack::object& from, double& value) {
    value = from.as<double>();
  }
  static void Read(const msgpack::object& from, duration& value) {
    const auto milliseconds = std::min(from.as<std::uint64_t>(), kMaxAgeMs);
    value = std::chrono::milliseconds(milliseconds);
  }
  static void Read(const msgpack::object& from, target_phase& value) {
    value = from.as<std::uint64_t>() == 0 ? target_phase::kServing
                                          : target_phase::kLeaving;
  }

  template <typename Enumeration>
  static void ReadEnumeration(const msgpack::object& from,
                              Enumeration last,
                              Enumeration& value) {
    const auto number = from.as<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last)) {
      throw malformed_error{};
    }
    value = static_cast<Enumeration>(number);
  }

  static void Read(const msgpack::object& from, outcome& value) {
    ReadEnumeration(from, outcome::kUnknown, value);
  }

  static void Read(const msgpack::object& from, closed_key_result& value) {
    ReadEnumeration(from, closed_key_result::kAnswerDropped, value);
  }

  static void Read(const msgpack::object& from, vm_role& value) {
    const auto number = from.as<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(vm_role::kService)) {
      throw malformed_error{};
    }
    value = static_cast<vm_role>(number);
  }

  static void Read(const msgpack::object& from, std::string& value) {
    value = from.as<std::string>();
  }

  template <typename Tag>
  static void Read(const msgpack::object& from, name<Tag>& value) {
    value.value = from.as<std::string>();
    if (value.value.size() > kMaxNameBytes) {
      throw malformed_error{};
    }
  }

  template <typename Item>
  void Read(const msgpack::object& from, std::vector<Item>& items) const {
    if (from.type != msgpack::type::ARRAY ||
        from.via.array.size > MaxItems(static_cast<Item*>(nullptr))) {
      throw malformed_error{};
    }
    for (std::uint32_t i = 0; i < from.via.array.size; ++i) {
      const msgpack::object& element = from.via.array.ptr[i];
      Item& item = items.emplace_back();
      if constexpr (std::is_same_v<Item, std::string>) {
        Read(element, item);
      } else {
        ReadMap(element, item, unknown_);
      }
    }
  }

  static std::size_t MaxItems(std::string*) noexcept { return kMaxModels; }
  static std::size_t MaxItems(workspace_demand*) noexcept {
    return kMaxDemands;
  }
  static std::size_t MaxItems(workspace_loan*) noexcept { return kMaxDemands; }
  static std::size_t MaxItems(closed_set_holder*) noexcept {
    return kMaxClosedSets;
  }
  static std::size_t MaxItems(closed_key*) noexcept { return kMaxKeysPerPart; }
  static std::size_t MaxItems(suspect_report*) noexcept { return kMaxSuspects; }
  static std::size_t MaxItems(leaving_target*) noexcept {
    return kMaxLeavingTargets;
  }
  static std::size_t MaxItems(member_summary*) noexcept {
    return kMaxSummaryMembers;
  }
  static std::size_t MaxItems(vm_record*) noexcept { return kMaxVmListChanges; }
  static std::size_t MaxItems(relayed_report*) noexcept {
    return kMaxRelayedReports;
  }

  std::span<const msgpack::object_kv> fields_;
  std::size_t used_{};
  std::size_t& unknown_;
};

}  // namespace acaciaferry::internal
