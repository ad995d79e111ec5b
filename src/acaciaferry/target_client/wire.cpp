#include "acaciaferry/target_client/wire.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace acaciaferry {
namespace internal {

using nlohmann::json;

vm_role ParseRole(const std::string& role) {
  if (role == "engine") {
    return vm_role::kEngine;
  }
  return role == "service" ? vm_role::kService : vm_role::kEntry;
}

vm_record ReadVm(const json& value) {
  return {.name = value.at("name").get<std::string>(),
          .address = value.at("address").get<std::string>(),
          .failure_domain = {value.at("failure_domain").get<std::string>()},
          .region = {value.value("region", "")},
          .role = ParseRole(value.at("role").get<std::string>()),
          .pool = {value.value("pool", "")},
          .leaving = value.value("state", "live") == "leaving",
          .incarnation = value.value("incarnation", std::uint64_t{})};
}

load_report ReadReport(const json& value) {
  const auto number = [&value](const char* key) {
    return value.value(key, std::uint64_t{});
  };
  return {.target = {value.at("target").get<std::string>()},
          .incarnation = value.at("incarnation").get<std::uint64_t>(),
          .phase = value.value("state", "serving") == "leaving"
                       ? target_phase::kLeaving
                       : target_phase::kServing,
          .sequence = number("sequence"),
          .running = number("running"),
          .waiting = number("waiting"),
          .queued_prefill_tokens = number("queued_prefill_tokens"),
          .kv_used_tokens = number("kv_used_tokens"),
          .kv_capacity_tokens = number("kv_capacity_tokens"),
          .prefill_tokens_per_s = value.value("prefill_tokens_per_s", 0.0),
          .decode_ms_per_token = value.value("decode_ms_per_token", 0.0),
          .models = value.value("models", std::vector<std::string>{}),
          .fencing = number("fencing")};
}

stream_item ReadItem(const json& value) {
  return {.offset = value.at("offset").get<std::uint64_t>(),
          .text = value.value("text", ""),
          .end = value.value("end", false),
          .finish_reason = value.value("finish_reason", "")};
}

holding_kind ParseHoldingKind(const std::string& kind) {
  if (kind == "reservation") {
    return holding_kind::kReservation;
  }
  if (kind == "pinned_prefix") {
    return holding_kind::kPinnedPrefix;
  }
  return kind == "kv_segment" ? holding_kind::kKvSegment
                              : holding_kind::kStream;
}

// The format of an owner is VM/INCARNATION.
void ReadOwner(const std::string& owner, holding& result) {
  const std::size_t slash = owner.rfind('/');
  if (slash == std::string::npos) {
    throw json::other_error::create(0, "owner without incarnation", nullptr);
  }
  result.owner.value = owner.substr(0, slash);
  const char* const last = owner.data() + owner.size();
  const auto [end, error] =
      std::from_chars(owner.data() + slash + 1, last, result.owner_incarnation);
  if (error != std::errc{} || end != last) {
    throw json::other_error::create(0, "owner without incarnation", nullptr);
  }
}

holding ReadHolding(const json& value) {
  holding result;
  result.id = value.at("id").get<std::string>();
  result.kind = ParseHoldingKind(value.at("kind").get<std::string>());
  result.remaining =
      std::chrono::milliseconds(value.at("deadline_ms").get<std::int64_t>());
  result.tokens = value.value("tokens", std::uint64_t{});
  ReadOwner(value.at("owner").get<std::string>(), result);
  return result;
}

std::vector<holding> ReadHoldings(const json& value) {
  std::vector<holding> holdings;
  for (const json& each : value.at("holdings")) {
    holdings.push_back(ReadHolding(each));
  }
  return holdings;
}

std::uint64_t ReadBlock(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t block = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] =
      std::from_chars(text.data(), last, block, kHexadecimal);
  if (error != std::errc{} || end != last) {
    throw json::other_error::create(0, "block is not hexadecimal", nullptr);
  }
  return block;
}

cache_event ReadCacheEvent(const json& value) {
  const auto operation = value.at("op").get<std::string>();
  if (operation != "add" && operation != "evict") {
    throw json::other_error::create(0, "unknown operation", nullptr);
  }
  return {.sequence = value.at("seq").get<std::uint64_t>(),
          .is_eviction = operation == "evict",
          .block = ReadBlock(value.at("block").get<std::string>())};
}

cache_events_received ReadCacheEvents(const json& value) {
  cache_events_received result;
  result.oldest_sequence = value.at("first").get<std::uint64_t>();
  for (const json& each : value.at("events")) {
    result.events.push_back(ReadCacheEvent(each));
  }
  return result;
}

std::vector<vm_record> ReadVmList(const json& value) {
  std::vector<vm_record> vms;
  for (const json& vm : value.at("vms")) {
    vms.push_back(ReadVm(vm));
  }
  return vms;
}

// nlohmann::json throws when a field is missing or has another type.
template <typename Result>
std::optional<Result> Parse(std::string_view text,
                            Result (*read)(const json&)) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    return read(value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace internal

std::optional<stream_item> ParseStreamItem(std::string_view json) {
  return internal::Parse(json, internal::ReadItem);
}

std::optional<load_report> ParseLoadReport(std::string_view json) {
  return internal::Parse(json, internal::ReadReport);
}

std::optional<std::vector<holding>> ParseHoldings(std::string_view json) {
  return internal::Parse(json, internal::ReadHoldings);
}

std::optional<cache_events_received> ParseCacheEvents(std::string_view json) {
  return internal::Parse(json, internal::ReadCacheEvents);
}

std::optional<std::vector<vm_record>> ParseVmList(std::string_view json) {
  return internal::Parse(json, internal::ReadVmList);
}

}  // namespace acaciaferry
