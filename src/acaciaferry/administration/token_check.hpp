#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry {

/**
 * @brief Checks operators' bearer tokens against digests from a file.
 */
class token_check {
 public:
  /**
   * @param text The file's content: one SHA-256 in lower-case hexadecimal a
   * line; blank lines and lines that begin with `#` are skipped.
   */
  explicit token_check(std::string_view text);

  /**
   * @brief Checks a request's Authorization header.
   * @param header The header's value.
   * @return True for `Bearer TOKEN` with a token whose digest is listed. The
   * time taken does not depend on where the digests differ.
   */
  [[nodiscard]] bool Accepts(std::string_view header) const;

 private:
  std::vector<std::string> digests_;
};

}  // namespace acaciaferry
