#pragma once

#include <cstdint>
#include <string>

namespace acaciaferry::load {

/**
 * @brief Text from which prompts are cut.
 */
class corpus {
 public:
  /**
   * @brief Reads the text files below a directory, in the order of their
   * paths. Bytes outside printable ASCII become spaces, so that a cut never
   * divides a character.
   * @param directory Path of the directory.
   * @throws std::runtime_error when there is no text.
   */
  explicit corpus(const std::string& directory);

  /**
   * @param offset Start of the cut; wraps around at the end of the text.
   * @param bytes Length of the cut, which may exceed the text.
   */
  [[nodiscard]] std::string Cut(std::uint64_t offset,
                                std::uint64_t bytes) const;

 private:
  std::string text_;
};

}  // namespace acaciaferry::load
