#include "acaciaferry/core/token_digest.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace acaciaferry {

std::string TokenDigest(std::string_view token) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(token.data(), token.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool EqualInConstantTime(std::string_view a, std::string_view b) noexcept {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace acaciaferry
