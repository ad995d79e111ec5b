#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "acaciaferry/configuration/effect.hpp"

namespace acaciaferry {

/** The configuration service answered with a document. */
struct configuration_read {
  std::uint64_t revision{};
  document_text text;
};

/** A document was parsed; it is valid when there are no faults. */
struct configuration_checked {
  std::uint64_t revision{};
  document_text text;
  std::shared_ptr<const deployment> config;
  std::vector<setting_fault> faults;
};

}  // namespace acaciaferry
