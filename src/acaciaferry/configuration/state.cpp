#include "acaciaferry/configuration/state.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/configuration/difference.hpp"

namespace acaciaferry {
namespace internal {

// Limits the memory of queued parts when a whole failure domain requests a
// document at once. A VM whose request is dropped asks another peer a second
// later.
constexpr duration kServingWindow = std::chrono::milliseconds(500);
constexpr std::size_t kMaxServedBytes = 4 << 20;

// A rejected revision does not block a lower one that is valid.
bool IsWanted(const configuration_state& state,
              std::uint64_t revision) noexcept {
  return revision > std::max(state.revision, state.checking_revision) &&
         !std::binary_search(state.rejected_revisions.begin(),
                             state.rejected_revisions.end(), revision);
}

void Reject(configuration_state& state, std::uint64_t revision) {
  const auto place = std::lower_bound(state.rejected_revisions.begin(),
                                      state.rejected_revisions.end(), revision);
  if (place == state.rejected_revisions.end() || *place != revision) {
    state.rejected_revisions.insert(place, revision);
  }
  if (state.rejected_revisions.size() > kMaxRejectedRevisions) {
    state.rejected_revisions.erase(state.rejected_revisions.begin());
  }
}

void StartCheck(configuration_state& state,
                std::uint64_t revision,
                document_text text,
                configuration_effects& out) {
  if (!IsWanted(state, revision)) {
    out.verdicts.push_back({configuration_verdict::kNotNewer, revision, {}});
    return;
  }
  if (text->size() > kMaxDocumentBytes) {
    Reject(state, revision);
    out.verdicts.push_back({configuration_verdict::kTooLarge, revision, {}});
    return;
  }
  state.checking_revision = revision;
  out.checks.push_back({revision, std::move(text)});
}

bool IsSameDocument(const incoming_document& known,
                    const vm_id& from,
                    const configuration_part& part) noexcept {
  return known.from == from && known.revision == part.revision &&
         known.base == part.base && known.digest == part.digest &&
         known.parts.size() == part.count;
}

// An incomplete document is replaced by a later revision, or by the same one
// from another peer that was asked after a timeout.
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
  const std::uint64_t highest_rejected =
      state.rejected_revisions.empty() ? 0 : state.rejected_revisions.back();
  return std::max({state.revision, state.checking_revision, highest_rejected});
}

void OnConfigurationRead(configuration_state& state,
                         const configuration_read& event,
                         configuration_effects& out) {
  internal::StartCheck(state, event.revision, event.text, out);
}

void OnPeerRevision(configuration_state& state,
                    std::uint64_t revision,
                    const std::string& address,
                    time_point now,
                    configuration_effects& out) {
  const bool is_due =
      now >= state.next_request_at || revision > state.requested_revision;
  if (address.empty() || !internal::IsWanted(state, revision) || !is_due) {
    return;
  }
  state.next_request_at = now + kDocumentRequestTimeout;
  state.requested_revision = revision;
  // Drops the parts of an earlier, incomplete answer, which would otherwise
  // block a lower revision of another peer.
  state.incoming.reset();
  const std::uint64_t after =
      state.document && !state.request_full_document ? state.revision : 0;
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
  if (now - state.serving_window_start >= internal::kServingWindow) {
    state.serving_window_start = now;
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
    state.request_full_document = true;
    state.next_request_at = {};
    out.verdicts.push_back(
        {configuration_verdict::kDigestMismatch, complete.revision, {}});
    return;
  }
  state.request_full_document = false;
  internal::StartCheck(state, complete.revision,
                       std::make_shared<const std::string>(*std::move(text)),
                       out);
}

std::shared_ptr<const deployment> OnConfigurationChecked(
    configuration_state& state,
    const configuration_checked& event,
    configuration_effects& out) {
  if (state.checking_revision == event.revision) {
    state.checking_revision = 0;
  }
  if (!event.faults.empty() || !event.config) {
    internal::Reject(state, event.revision);
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
