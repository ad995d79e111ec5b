#include "acaciaferry/peer/codec.hpp"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>
#include <Poco/HMACEngine.h>

#include <algorithm>
#include <msgpack.hpp>
#include <utility>

#include "acaciaferry/peer/fields.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::size_t kEnvelopeBytes = 1 + kTagBytes;
constexpr std::size_t kHeaderFields = 6;
// Limits on the nesting depth of a payload, and on the items of one array or
// map.
constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxItems = 4'096;

// Numbers of kinds and fields are part of the wire format and are never reused.
constexpr std::uint64_t kHeartbeatKind = 1;
constexpr std::uint64_t kLoadRelayKind = 2;
constexpr std::uint64_t kDomainSummaryKind = 3;
constexpr std::uint64_t kConfigurationRequestKind = 4;
constexpr std::uint64_t kConfigurationPartKind = 5;
constexpr std::uint64_t kVmListChangesKind = 6;
constexpr std::uint64_t kShareLoansKind = 7;
constexpr std::uint64_t kClosedKeysPartKind = 8;
constexpr std::uint64_t kClosedKeysAcknowledgementKind = 9;

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
  } else if constexpr (std::is_same_v<type, closed_keys_acknowledgement>) {
    visit(0, value.incarnation);
  } else if constexpr (std::is_same_v<type, share_loans>) {
    visit(0, value.incarnation);
    visit(1, value.demand_measured_at);
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
    // Encoded in one map, which saves two bytes per report.
    VisitFields(visit, value.report);
    visit(100, value.age);
  } else if constexpr (std::is_same_v<type, member_summary>) {
    visit(0, value.vm);
    visit(1, value.incarnation);
    visit(2, value.callers_address);
    visit(3, value.leaving);
    visit(4, value.age);
  } else if constexpr (std::is_same_v<type, vm_record>) {
    visit(0, value.name);
    visit(1, value.address);
    visit(2, value.failure_domain);
    visit(3, value.region);
    visit(4, value.role);
    visit(5, value.pool);
    visit(6, value.leaving);
    visit(7, value.incarnation);
  } else if constexpr (std::is_same_v<type, vm_list_changes>) {
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
    visit(9, value.demand_measured_at);
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

struct kind_visitor {
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
  std::uint64_t operator()(const vm_list_changes&) const {
    return kVmListChangesKind;
  }
  std::uint64_t operator()(const share_loans&) const { return kShareLoansKind; }
  std::uint64_t operator()(const closed_keys_part&) const {
    return kClosedKeysPartKind;
  }
  std::uint64_t operator()(const closed_keys_acknowledgement&) const {
    return kClosedKeysAcknowledgementKind;
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
    case kVmListChangesKind:
      return ReadBody<vm_list_changes>(fields, unknown);
    case kClosedKeysPartKind:
      return ReadBody<closed_keys_part>(fields, unknown);
    case kClosedKeysAcknowledgementKind:
      return ReadBody<closed_keys_acknowledgement>(fields, unknown);
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

// Poco::HMACEngine requires an engine with constants of these names.
class sha256_engine : public Poco::Crypto::DigestEngine {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = kTagBytes };
  sha256_engine() : DigestEngine("SHA256") {}
};

Poco::DigestEngine::Digest ComputeTag(std::string_view payload,
                                      std::string_view key) {
  // Each engine holds a reference on OpenSSL. POCO initializes and
  // uninitializes OpenSSL without a lock when the reference count leaves or
  // reaches zero, a race that crashed the process. A permanent reference keeps
  // the count above zero.
  static const Poco::Crypto::OpenSSLInitializer kPermanentReference;
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
  out.pack(std::visit(internal::kind_visitor{}, message.body));
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

std::string SignMessage(std::string_view payload, std::string_view key) {
  std::string bytes(1, static_cast<char>(kEnvelopeFormat));
  const auto tag = internal::ComputeTag(payload, key);
  bytes.append(tag.begin(), tag.end()).append(payload);
  return bytes;
}

decoded_message VerifyAndDecode(byte_view bytes, std::string_view key) {
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
  const bool is_authentic = Poco::DigestEngine::constantTimeEquals(
      tag, internal::ComputeTag(payload, key));
  if (!is_authentic) {
    return {peer_verdict::kForged, {}};
  }
  return DecodePayload(bytes.subspan(internal::kEnvelopeBytes));
}

}  // namespace acaciaferry
