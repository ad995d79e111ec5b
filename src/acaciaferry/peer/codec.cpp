#include "acaciaferry/peer/codec.hpp"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>
#include <Poco/HMACEngine.h>

#include <algorithm>
#include <msgpack.hpp>
#include <utility>

namespace acaciaferry {
namespace internal {

constexpr std::size_t kEnvelopeBytes = 1 + kTagBytes;
constexpr std::size_t kHeaderFields = 6;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxModels = 64;
constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxItems = 4'096;
constexpr std::uint64_t kMaxAgeMs = 3'600'000;

// Kinds and field numbers are never used again for another meaning.
constexpr std::uint64_t kHeartbeatKind = 1;
constexpr std::uint64_t kLoadRelayKind = 2;
constexpr std::uint64_t kDomainSummaryKind = 3;
constexpr std::uint64_t kConfigurationRequestKind = 4;
constexpr std::uint64_t kConfigurationPartKind = 5;
constexpr std::uint64_t kListChangesKind = 6;
constexpr std::uint64_t kShareLoansKind = 7;
constexpr std::uint64_t kClosedKeysPartKind = 8;
constexpr std::uint64_t kClosedKeysReceiptKind = 9;

using packer = msgpack::packer<msgpack::sbuffer>;

// Thrown for a payload of the right types and impossible values.
struct malformed_error {};

// A visitor of fields is called with each field number and value, for writing
// and for reading. Both directions share the lists below.
template <typename Visitor, typename Value>
void VisitFields(Visitor& visit, Value& value);

std::uint64_t ToAgeMs(duration age) noexcept {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return std::clamp<std::uint64_t>(
      static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)), 0,
      kMaxAgeMs);
}

class field_writer;
class field_reader;

// Default values are left out.
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
  void Write(closed_result value) {
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

// Absent fields keep their defaults; fields that nobody asked for are counted.
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

  static void Read(const msgpack::object& from, closed_result& value) {
    ReadEnumeration(from, closed_result::kAnswerDropped, value);
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
  static std::size_t MaxItems(closed_key*) noexcept { return kMaxKeysInPart; }
  static std::size_t MaxItems(suspect_report*) noexcept { return kMaxSuspects; }
  static std::size_t MaxItems(leaving_target*) noexcept {
    return kMaxLeavingTargets;
  }
  static std::size_t MaxItems(member_summary*) noexcept {
    return kMaxSummaryMembers;
  }
  static std::size_t MaxItems(vm_entry*) noexcept { return kMaxListChanges; }
  static std::size_t MaxItems(relayed_report*) noexcept {
    return kMaxRelayedReports;
  }

  std::span<const msgpack::object_kv> fields_;
  std::size_t used_{};
  std::size_t& unknown_;
};

template <typename Visitor, typename Value>
void VisitFields(Visitor& visit, Value& value) {
  using type = std::remove_const_t<Value>;
  if constexpr (std::is_same_v<type, workspace_demand>) {
    visit(0, value.workspace);
    visit(1, value.tokens_per_second);
  } else if constexpr (std::is_same_v<type, workspace_loan>) {
    visit(0, value.workspace);
    visit(1, value.tokens_per_second);
  } else if constexpr (std::is_same_v<type, closed_set_holder>) {
    visit(0, value.holder);
    visit(1, value.minter);
    visit(2, value.incarnation);
  } else if constexpr (std::is_same_v<type, closed_key>) {
    visit(0, value.sequence);
    visit(1, value.fingerprint);
    visit(2, value.result);
    visit(3, value.http_status);
    visit(4, value.content_type);
    visit(5, value.body);
    visit(6, value.code);
    visit(7, value.failure_outcome);
  } else if constexpr (std::is_same_v<type, closed_keys_part>) {
    visit(0, value.next_sequence);
    visit(1, value.closed_at);
    visit(2, value.index);
    visit(3, value.count);
    visit(4, value.keys);
  } else if constexpr (std::is_same_v<type, closed_keys_receipt>) {
    visit(0, value.incarnation);
  } else if constexpr (std::is_same_v<type, share_loans>) {
    visit(0, value.incarnation);
    visit(1, value.asked_at);
    visit(2, value.loans);
  } else if constexpr (std::is_same_v<type, suspect_report>) {
    visit(0, value.fingerprint);
    visit(1, value.source.first);
    visit(2, value.source.second);
    visit(3, value.version);
    visit(4, value.crashes);
    visit(5, value.weight);
    visit(6, value.age);
  } else if constexpr (std::is_same_v<type, leaving_target>) {
    visit(0, value.target);
    visit(1, value.incarnation);
  } else if constexpr (std::is_same_v<type, load_report>) {
    visit(0, value.target);
    visit(1, value.incarnation);
    visit(2, value.phase);
    visit(3, value.sequence);
    visit(4, value.running);
    visit(5, value.waiting);
    visit(6, value.queued_prefill_tokens);
    visit(7, value.kv_used_tokens);
    visit(8, value.kv_capacity_tokens);
    visit(9, value.prefill_tokens_per_s);
    visit(10, value.decode_ms_per_token);
    visit(11, value.models);
    visit(12, value.fencing);
  } else if constexpr (std::is_same_v<type, relayed_report>) {
    // One map for both, which saves two bytes a report.
    VisitFields(visit, value.report);
    visit(100, value.age);
  } else if constexpr (std::is_same_v<type, member_summary>) {
    visit(0, value.vm);
    visit(1, value.incarnation);
    visit(2, value.callers_address);
    visit(3, value.leaving);
    visit(4, value.age);
  } else if constexpr (std::is_same_v<type, vm_entry>) {
    visit(0, value.name);
    visit(1, value.address);
    visit(2, value.failure_domain);
    visit(3, value.region);
    visit(4, value.role);
    visit(5, value.pool);
    visit(6, value.leaving);
    visit(7, value.incarnation);
  } else if constexpr (std::is_same_v<type, list_changes>) {
    visit(0, value.entries);
  } else if constexpr (std::is_same_v<type, heartbeat>) {
    visit(0, value.leaving);
    visit(1, value.revision);
    visit(2, value.failure_domain);
    visit(3, value.region);
    visit(4, value.address);
    visit(5, value.callers_address);
    visit(6, value.demand);
    visit(7, value.suspects);
    visit(8, value.leaving_targets);
    visit(9, value.asked_at);
    visit(10, value.closed_sets);
  } else if constexpr (std::is_same_v<type, load_relay>) {
    visit(0, value.reports);
  } else if constexpr (std::is_same_v<type, domain_summary>) {
    visit(0, value.failure_domain);
    visit(1, value.relayed);
    visit(2, value.revision);
    visit(3, value.members);
    visit(4, value.reports);
    visit(5, value.leaving_targets);
    visit(6, value.suspects);
    visit(7, value.demand);
    visit(8, value.closed_sets);
  } else if constexpr (std::is_same_v<type, configuration_request>) {
    visit(0, value.after);
  } else if constexpr (std::is_same_v<type, configuration_part>) {
    visit(0, value.revision);
    visit(1, value.base);
    visit(2, value.index);
    visit(3, value.count);
    visit(4, value.digest);
    visit(5, value.text);
  }
}

struct kind_of {
  std::uint64_t operator()(const heartbeat&) const { return kHeartbeatKind; }
  std::uint64_t operator()(const load_relay&) const { return kLoadRelayKind; }
  std::uint64_t operator()(const domain_summary&) const {
    return kDomainSummaryKind;
  }
  std::uint64_t operator()(const configuration_request&) const {
    return kConfigurationRequestKind;
  }
  std::uint64_t operator()(const configuration_part&) const {
    return kConfigurationPartKind;
  }
  std::uint64_t operator()(const list_changes&) const {
    return kListChangesKind;
  }
  std::uint64_t operator()(const share_loans&) const { return kShareLoansKind; }
  std::uint64_t operator()(const closed_keys_part&) const {
    return kClosedKeysPartKind;
  }
  std::uint64_t operator()(const closed_keys_receipt&) const {
    return kClosedKeysReceiptKind;
  }
  std::uint64_t operator()(const unknown_body&) const { return 0; }
};

template <typename Body>
peer_body ReadBody(const msgpack::object& fields, std::size_t& unknown) {
  Body body;
  field_reader::ReadMap(fields, body, unknown);
  return body;
}

peer_body ReadBodyOfKind(std::uint64_t kind,
                         const msgpack::object& fields,
                         std::size_t& unknown) {
  switch (kind) {
    case kHeartbeatKind:
      return ReadBody<heartbeat>(fields, unknown);
    case kLoadRelayKind:
      return ReadBody<load_relay>(fields, unknown);
    case kDomainSummaryKind:
      return ReadBody<domain_summary>(fields, unknown);
    case kConfigurationRequestKind:
      return ReadBody<configuration_request>(fields, unknown);
    case kConfigurationPartKind:
      return ReadBody<configuration_part>(fields, unknown);
    case kListChangesKind:
      return ReadBody<list_changes>(fields, unknown);
    case kClosedKeysPartKind:
      return ReadBody<closed_keys_part>(fields, unknown);
    case kClosedKeysReceiptKind:
      return ReadBody<closed_keys_receipt>(fields, unknown);
    case kShareLoansKind:
      return ReadBody<share_loans>(fields, unknown);
    default:
      return unknown_body{};
  }
}

decoded_message ReadMessage(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY ||
      object.via.array.size < kHeaderFields) {
    throw malformed_error{};
  }
  const std::span<const msgpack::object> header(object.via.array.ptr,
                                                object.via.array.size);
  decoded_message result;
  std::size_t unknown = header.size() - kHeaderFields;
  const auto version = header[0].as<std::uint64_t>();
  const auto kind = header[1].as<std::uint64_t>();
  result.message.vm.value = header[2].as<std::string>();
  result.message.incarnation = header[3].as<std::uint64_t>();
  result.message.sequence = header[4].as<std::uint64_t>();
  const bool is_named = !result.message.vm.empty() &&
                        result.message.vm.value.size() <= kMaxNameBytes;
  if (version == 0 || !is_named) {
    throw malformed_error{};
  }
  result.message.body = ReadBodyOfKind(kind, header[5], unknown);
  if (std::holds_alternative<unknown_body>(result.message.body)) {
    result.verdict = peer_verdict::kUnknownKind;
  } else {
    result.verdict =
        unknown > 0 ? peer_verdict::kUnknownFields : peer_verdict::kAccepted;
  }
  return result;
}

// POCO's HMAC needs an engine that names its sizes, by these names.
class sha256_engine : public Poco::Crypto::DigestEngine {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = kTagBytes };
  sha256_engine() : DigestEngine("SHA256") {}
};

Poco::DigestEngine::Digest Tag(std::string_view payload, std::string_view key) {
  // Each engine counts itself as a user of OpenSSL, and POCO sets OpenSSL up
  // and takes it down without a lock when that count leaves and reaches zero.
  // One user that stays keeps threads out of that race, which ended the
  // process.
  static const Poco::Crypto::OpenSSLInitializer kFirstUser;
  Poco::HMACEngine<sha256_engine> engine(key.data(), key.size());
  engine.update(payload.data(), payload.size());
  return engine.digest();
}

}  // namespace internal

std::string EncodePayload(const peer_message& message) {
  msgpack::sbuffer buffer;
  internal::packer out(buffer);
  out.pack_array(internal::kHeaderFields);
  out.pack(kMessageVersion);
  out.pack(std::visit(internal::kind_of{}, message.body));
  out.pack(message.vm.value);
  out.pack(message.incarnation);
  out.pack(message.sequence);
  std::visit(
      [&out](const auto& body) { internal::field_writer(out).WriteMap(body); },
      message.body);
  if (buffer.size() + internal::kEnvelopeBytes > kMaxMessageBytes) {
    return {};
  }
  return {buffer.data(), buffer.size()};
}

decoded_message DecodePayload(byte_view payload) {
  using internal::kMaxItems;
  const msgpack::unpack_limit limits(kMaxItems, kMaxItems, kMaxMessageBytes,
                                     kMaxMessageBytes, 0, internal::kMaxDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(reinterpret_cast<const char*>(payload.data()),
                        payload.size(), offset, nullptr, nullptr, limits);
    return offset == payload.size() ? internal::ReadMessage(handle.get())
                                    : decoded_message{};
  } catch (const msgpack::unpack_error&) {
    return {};
  } catch (const msgpack::type_error&) {
    return {};
  } catch (const internal::malformed_error&) {
    return {};
  }
}

std::string Seal(std::string_view payload, std::string_view key) {
  std::string bytes(1, static_cast<char>(kEnvelopeFormat));
  const auto tag = internal::Tag(payload, key);
  bytes.append(tag.begin(), tag.end()).append(payload);
  return bytes;
}

decoded_message OpenMessage(byte_view bytes, std::string_view key) {
  if (bytes.size() > kMaxMessageBytes) {
    return {peer_verdict::kOversized, {}};
  }
  if (bytes.size() <= internal::kEnvelopeBytes) {
    return {peer_verdict::kMalformed, {}};
  }
  if (bytes[0] != kEnvelopeFormat) {
    return {peer_verdict::kUnknownFormat, {}};
  }
  const std::string_view text(reinterpret_cast<const char*>(bytes.data()),
                              bytes.size());
  const std::string_view payload = text.substr(internal::kEnvelopeBytes);
  const Poco::DigestEngine::Digest tag(
      bytes.begin() + 1, bytes.begin() + internal::kEnvelopeBytes);
  const bool is_authentic =
      Poco::DigestEngine::constantTimeEquals(tag, internal::Tag(payload, key));
  if (!is_authentic) {
    return {peer_verdict::kForged, {}};
  }
  return DecodePayload(bytes.subspan(internal::kEnvelopeBytes));
}

}  // namespace acaciaferry
