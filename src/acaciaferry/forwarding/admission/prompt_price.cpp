#include "acaciaferry/forwarding/admission/prompt_price.hpp"

#include <xxhash.h>

#include <algorithm>

#include "acaciaferry/forwarding/placement.hpp"

namespace acaciaferry::forwarding {
namespace internal {

// Price, in weights of very short requests, of one second of a saturated
// engine. Short prompts have many times that weight per second, the longest
// ones less.
constexpr double kSaturationPrice = 16;
// Utilization of the engines up to which their time is free.
constexpr double kFreeUtilization = 0.37;
// Utilization from which the price no longer rises, so that short prompts are
// never priced out.
constexpr double kSaturatedUtilization = 0.95;
// Percentage of the priced-out prompts that is refused. The others are served,
// so that very long prompts are not starved: of callers that return once, about
// half get through.
constexpr std::uint64_t kRefusedPercent = 70;
constexpr std::uint64_t kHundredPercent = 100;
// Kinds come from the published routes, which change over time.
constexpr std::size_t kMaxKinds = 256;
// A kind with fewer recent prompts makes room for a new one.
constexpr double kMinRecentPrompts = 0.1;

// Whether the engine time that a prompt needs is worth more to the prompts that
// come after it. Engine time has a price only when it is scarce.
bool IsPricedOut(const engine_properties& engine,
                 std::uint64_t prompt_tokens,
                 double utilization) {
  const double scarcity =
      (std::clamp(utilization, kFreeUtilization, kSaturatedUtilization) -
       kFreeUtilization) /
      (kSaturatedUtilization - kFreeUtilization);
  const double price = kSaturationPrice * scarcity;
  return price * ToSeconds(PrefillTime(engine, prompt_tokens)) >
         RequestWeight(engine, prompt_tokens);
}

}  // namespace internal

void prompt_price::Record(const engine_properties& engine,
                          const prompt_kind& kind,
                          std::uint64_t prompt_tokens,
                          time_point now) {
  // Short prompts of the same kind would make all long ones look too long.
  if (!IsLongPrompt(RequestWeight(engine, prompt_tokens)) ||
      !HasRoomFor(kind, now)) {
    return;
  }
  recent_lengths& recent = kinds_[kind];
  recent.prompts.Add(1, now);
  recent.tokens.Add(static_cast<double>(prompt_tokens), now);
}

bool prompt_price::Refuses(const engine_properties& engine,
                           const prompt_kind& kind,
                           std::uint64_t prompt_tokens,
                           dispatch_id key,
                           double utilization,
                           time_point now) const {
  // A prompt that waits is decided on several times. If each decision drew
  // anew, the longest, which wait most often, would hardly ever be served.
  const bool is_drawn =
      XXH3_64bits(&key, sizeof key) % internal::kHundredPercent <
      internal::kRefusedPercent;
  return is_drawn &&
         internal::IsPricedOut(engine, PricedTokens(kind, prompt_tokens, now),
                               utilization);
}

bool prompt_price::HasRoomFor(const prompt_kind& kind, time_point now) {
  if (kinds_.size() < internal::kMaxKinds || kinds_.contains(kind)) {
    return true;
  }
  std::erase_if(kinds_, [now](const auto& each) {
    return each.second.prompts.At(now) < internal::kMinRecentPrompts;
  });
  return kinds_.size() < internal::kMaxKinds;
}

std::uint64_t prompt_price::PricedTokens(const prompt_kind& kind,
                                         std::uint64_t prompt_tokens,
                                         time_point now) const {
  const auto at = kinds_.find(kind);
  if (at == kinds_.end()) {
    return prompt_tokens;
  }
  const double prompts = at->second.prompts.At(now);
  if (prompts <= 0) {
    return prompt_tokens;
  }
  return std::min(prompt_tokens, static_cast<std::uint64_t>(
                                     at->second.tokens.At(now) / prompts));
}

}  // namespace acaciaferry::forwarding
