#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/** Documents are up to 1 MB, so they are shared and never changed. */
using document_text = std::shared_ptr<const std::string>;

/** What became of a document. */
enum class configuration_verdict {
  kAccepted,
  kNotNewer,
  kInvalid,
  kTooLarge,
  /** The parts or the difference do not give the announced digest. */
  kDigestMismatch,
};

inline constexpr std::size_t kConfigurationVerdictCount =
    static_cast<std::size_t>(configuration_verdict::kDigestMismatch) + 1;

/** Parse a document outside the loop and post configuration_checked. */
struct check_configuration {
  std::uint64_t revision{};
  document_text text;
};

/** A configuration came into force. */
struct apply_configuration {
  std::shared_ptr<const deployment> config;
};

/** A document was judged; the faults are those of an invalid one. */
struct record_configuration_verdict {
  configuration_verdict verdict{};
  std::uint64_t revision{};
  std::vector<setting_fault> faults;
};

}  // namespace acaciaferry
