#include "acaciaferry/configuration/state.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/configuration/difference.hpp"

namespace acaciaferry {
namespace internal {

// Bounds the memory that queued parts take when a whole failure domain asks
// for one document; those who get none ask another peer a second later.
constexpr duration kServingWindow = std::chrono::milliseconds(500);
constexpr std::size_t kMaxServedBytes = 4 << 20;

// A refused revision does not stand in the way of a lower one that is valid.
bool IsWanted(const configuration_state& state,
              std::uint64_t revision) noexcept {
  return revision > std::max(state.revision, state.checking) &&
         !std::binary_search(state.refused.begin(), state.refused.end(),
                             revision);
}

void Refuse(configuration_state& state, std::uint64_t revision) {
  const auto place =
      std::lower_bound(state.refused.begin(), state.refused.end(), revision);
  if (place == state.refused.end() || *place != revision) {
    state.refused.insert(place, revision);
  }
  if (state.refused.size() > kMaxRefused) {
    state.refused.erase(state.refused.begin());
  }
}

void Check(configuration_state& state,
           std::uint64_t revision,
           document_text text,
           configuration_effects& out) {
  if (!IsWanted(state, revision)) {
    out.verdicts.push_back({configuration_verdict::kNotNewer, revision, {}});
    return;
  }
  if (text->size() > kMaxDocumentBytes) {
    Refuse(state, revision);
    out.verdicts.push_back({configuration_verdict::kTooLarge, revision, {}});
    return;
  }
  state.checking = revision;
  out.checks.push_back({revision, std::move(text)});
}

bool IsSameDocument(const incoming_document& known,
                    const vm_id& from,
                    const configuration_part& part) noexcept {
  return known.from == from && known.revision == part.revision &&
         known.base == part.base && known.digest == part.digest &&
         known.parts.size() == part.count;
}

// A later revision, or the same one from another peer that was asked after a
// time-out, replaces a document that is not complete.
incoming_document& IncomingFor(configuration_state& state,
                               const vm_id& from,
                               const configuration_part& part) {
  if (!state.incoming || !IsSameDocument(*state.incoming, from, part)) {
    state.incoming = incoming_document{
        from, part.revision, part.base, part.digest, {}, part.count};
    state.incoming->parts.resize(part.count);
  }
  return *state.incoming;
}

std::optional<std::string> Assemble(const configuration_state& state,
                                    const incoming_document& incoming) {
  std::string text;
  for (const auto& part : incoming.parts) {
    text.append(part.value_or(""));
  }
  if (incoming.base == 0) {
    return text;
  }
  const bool has_base = state.document && state.revision == incoming.base;
  if (!has_base) {
    return std::nullopt;
  }
  return ApplyDifference(*state.document, text, kMaxDocumentBytes);
}

}  // namespace internal

std::uint64_t HighestKnownRevision(const configuration_state& state) noexcept {
  const std::uint64_t refused =
      state.refused.empty() ? 0 : state.refused.back();
  return std::max({state.revision, state.checking, refused});
}

void OnConfigurationRead(configuration_state& state,
                         const configuration_read& event,
                         configuration_effects& out) {
  internal::Check(state, event.revision, event.text, out);
}

void OnPeerRevision(configuration_state& state,
                    std::uint64_t revision,
                    const std::string& address,
                    time_point now,
                    configuration_effects& out) {
  const bool is_due = now >= state.ask_after || revision > state.asked_revision;
  if (address.empty() || !internal::IsWanted(state, revision) || !is_due) {
    return;
  }
  state.ask_after = now + kDocumentTimeout;
  state.asked_revision = revision;
  // Parts of an earlier request that was not answered whole are dropped, or
  // they would keep a lower revision of another peer out.
  state.incoming.reset();
  const std::uint64_t after =
      state.document && !state.ask_whole ? state.revision : 0;
  out.messages.push_back({{address}, configuration_request{after}});
}

void OnConfigurationRequest(configuration_state& state,
                            const configuration_request& request,
                            const std::string& address,
                            time_point now,
                            configuration_effects& out) {
  if (address.empty() || !state.document || request.after >= state.revision) {
    return;
  }
  if (now - state.serving_since >= internal::kServingWindow) {
    state.serving_since = now;
    state.served_bytes = 0;
  }
  const bool has_base = request.after != 0 && state.previous_document &&
                        request.after == state.previous_revision;
  const std::string difference =
      has_base ? MakeDifference(*state.previous_document, *state.document) : "";
  const std::string& text = has_base ? difference : *state.document;
  if (state.served_bytes + text.size() > internal::kMaxServedBytes) {
    return;
  }
  state.served_bytes += text.size();
  const std::size_t count = std::max<std::size_t>(
      1, (text.size() + kMaxPartBytes - 1) / kMaxPartBytes);
  const std::uint64_t digest = DocumentDigest(*state.document);
  for (std::size_t i = 0; i < count; ++i) {
    out.messages.push_back(
        {{address},
         configuration_part{
             .revision = state.revision,
             .base = has_base ? request.after : 0,
             .index = static_cast<std::uint32_t>(i),
             .count = static_cast<std::uint32_t>(count),
             .digest = digest,
             .text = text.substr(i * kMaxPartBytes, kMaxPartBytes)}});
  }
}

void OnConfigurationPart(configuration_state& state,
                         const vm_id& from,
                         const configuration_part& part,
                         configuration_effects& out) {
  const bool in_bounds = part.count >= 1 && part.count <= kMaxDocumentParts &&
                         part.index < part.count &&
                         part.text.size() <= kMaxPartBytes;
  if (!in_bounds || !internal::IsWanted(state, part.revision)) {
    return;
  }
  if (state.incoming && state.incoming->revision > part.revision) {
    return;
  }
  incoming_document& incoming = internal::IncomingFor(state, from, part);
  auto& place = incoming.parts[part.index];
  if (!place) {
    place = part.text;
    --incoming.missing;
  }
  if (incoming.missing > 0) {
    return;
  }
  const incoming_document complete = *std::move(state.incoming);
  state.incoming.reset();
  auto text = internal::Assemble(state, complete);
  if (!text || DocumentDigest(*text) != complete.digest) {
    state.ask_whole = true;
    state.ask_after = {};
    out.verdicts.push_back(
        {configuration_verdict::kDigestMismatch, complete.revision, {}});
    return;
  }
  state.ask_whole = false;
  internal::Check(state, complete.revision,
                  std::make_shared<const std::string>(*std::move(text)), out);
}

std::shared_ptr<const deployment> OnConfigurationChecked(
    configuration_state& state,
    const configuration_checked& event,
    configuration_effects& out) {
  if (state.checking == event.revision) {
    state.checking = 0;
  }
  if (!event.faults.empty() || !event.config) {
    internal::Refuse(state, event.revision);
    out.verdicts.push_back(
        {configuration_verdict::kInvalid, event.revision, event.faults});
    return nullptr;
  }
  if (event.revision <= state.revision) {
    out.verdicts.push_back(
        {configuration_verdict::kNotNewer, event.revision, {}});
    return nullptr;
  }
  state.previous_revision = state.revision;
  state.previous_document = std::exchange(state.document, event.text);
  state.revision = event.revision;
  out.verdicts.push_back(
      {configuration_verdict::kAccepted, event.revision, {}});
  return event.config;
}

}  // namespace acaciaferry
