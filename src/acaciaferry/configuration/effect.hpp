#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/** Shared and immutable, since documents have up to 1 MB. */
using document_text = std::shared_ptr<const std::string>;

/** Result of checking a configuration document. */
enum class configuration_verdict {
  kAccepted,
  kNotNewer,
  kInvalid,
  kTooLarge,
  /** The parts from a peer do not give a document with the announced digest. */
  kDigestMismatch,
};

inline constexpr std::size_t kConfigurationVerdictCount =
    static_cast<std::size_t>(configuration_verdict::kDigestMismatch) + 1;

/** Parses a document outside the event loop and posts configuration_checked. */
struct check_configuration {
  std::uint64_t revision{};
  document_text text;
};

/** Applies an accepted configuration. */
struct apply_configuration {
  std::shared_ptr<const deployment> config;
};

/** Counts the verdict on a document and logs the faults of an invalid one. */
struct record_configuration_verdict {
  configuration_verdict verdict{};
  std::uint64_t revision{};
  std::vector<setting_fault> faults;
};

}  // namespace acaciaferry
