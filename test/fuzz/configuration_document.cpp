#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/questionnaire/document.hpp"

#include <cstddef>
#include <cstdint>

#include "input.hpp"

// A document without faults names its deployment.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acaciaferry;
  const std::string_view text = fuzz::Text(data, size);
  std::vector<setting_fault> faults;
  const deployment parsed = ParseDeployment(text, 1, faults);
  fuzz::Require(!faults.empty() || !parsed.name.empty());
  static_cast<void>(CheckDocument(text, faults));
  return 0;
}
