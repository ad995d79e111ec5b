#include "plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/core/random.hpp"

namespace acaciaferry::load {
namespace internal {

// Prompts of one band are spread evenly over the logarithm of their length.
struct length_band {
  std::uint64_t parts_of_fifty{};
  std::uint64_t low{};
  std::uint64_t high{};
};

constexpr std::uint64_t kParts = 50;
constexpr std::array<length_band, 4> kBands{{{33, 1'000, 4'096},
                                             {12, 4'097, 32'768},
                                             {4, 32'769, 100'000},
                                             {1, 100'001, 1'000'000}}};
constexpr std::uint64_t kChatPercent = 10;
constexpr std::uint64_t kCollectedPercent = 10;
// Some prompts begin alike, as those of one season log do.
constexpr std::uint64_t kSharedPrefixPercent = 30;
constexpr std::uint64_t kSharedPrefixes = 8;
constexpr std::uint64_t kMutatingPercent = 30;
constexpr std::uint64_t kMinOutputTokens = 8;
constexpr std::uint64_t kMaxOffset = std::uint64_t{1} << 32;

double DrawUnit(random_engine& random) {
  constexpr std::uint64_t kSteps = std::uint64_t{1} << 53;
  return static_cast<double>(DrawBelow(random, kSteps)) /
         static_cast<double>(kSteps);
}

bool DrawPercent(random_engine& random, std::uint64_t percent) {
  return DrawBelow(random, 100) < percent;
}

std::uint64_t DrawLength(random_engine& random) {
  std::uint64_t part = DrawBelow(random, kParts);
  std::size_t index = 0;
  while (part >= kBands[index].parts_of_fifty) {
    part -= kBands[index].parts_of_fifty;
    ++index;
  }
  const double low = std::log(static_cast<double>(kBands[index].low));
  const double high = std::log(static_cast<double>(kBands[index].high));
  return static_cast<std::uint64_t>(
      std::exp(low + (DrawUnit(random) * (high - low))));
}

void DrawCompletion(const options& options,
                    random_engine& random,
                    planned_request& request) {
  request.type = DrawPercent(random, kChatPercent) ? request_type::kChat
                                                   : request_type::kCompletion;
  request.prompt_tokens =
      std::min(DrawLength(random), options.max_prompt_tokens);
  request.prompt_offset =
      DrawPercent(random, kSharedPrefixPercent)
          ? DrawBelow(random, kSharedPrefixes) * (kMaxOffset / kSharedPrefixes)
          : DrawBelow(random, kMaxOffset);
  request.output_tokens =
      kMinOutputTokens + DrawBelow(random, options.max_output_tokens);
  request.streamed = !DrawPercent(random, kCollectedPercent);
  const bool is_short = request.prompt_tokens <= kLengthClassLimits[1];
  request.timeout = is_short ? options.short_timeout : options.long_timeout;
}

}  // namespace internal

std::vector<planned_request> MakePlan(const options& options) {
  random_engine random(options.seed);
  std::vector<planned_request> plan;
  double seconds = 0;
  while (plan.size() < options.max_requests) {
    seconds -=
        std::log(1 - internal::DrawUnit(random)) / options.requests_per_s;
    if (FromSeconds(seconds) >= options.run_time) {
      break;
    }
    planned_request request;
    request.number = plan.size();
    request.at = FromSeconds(seconds);
    request.entry = DrawBelow(random, options.entries.size());
    if (internal::DrawUnit(random) < options.service_share) {
      request.type = internal::DrawPercent(random, internal::kMutatingPercent)
                         ? request_type::kMutatingCall
                         : request_type::kReadingCall;
      request.timeout = options.service_timeout;
    } else {
      internal::DrawCompletion(options, random, request);
    }
    plan.push_back(request);
  }
  return plan;
}

}  // namespace acaciaferry::load
