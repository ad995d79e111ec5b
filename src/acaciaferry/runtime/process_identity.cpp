#include "acaciaferry/runtime/process_identity.hpp"

#include <Poco/Exception.h>

#include <chrono>
#include <fstream>
#include <random>
#include <sstream>

namespace acaciaferry {
namespace internal {

// A shorter key would weaken the HMAC signatures that are made with it.
constexpr std::size_t kMinKeyBytes = 16;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace internal

std::uint64_t MakeIncarnation() {
  constexpr unsigned kRandomBits = 16;
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  std::random_device random;
  const std::uint64_t low = random() & ((1U << kRandomBits) - 1);
  return (static_cast<std::uint64_t>(milliseconds) << kRandomBits) | low;
}

state MakeInitialState(const daemon_settings& settings,
                       std::uint64_t incarnation) {
  state result;
  result.self = {settings.vm, settings.failure_domain, settings.region,
                 incarnation};
  result.membership.self = settings.vm;
  result.membership.failure_domain = settings.failure_domain;
  result.membership.region = settings.region;
  result.random.seed(incarnation);
  if (!settings.key_file.empty()) {
    result.operations.secret = ReadKey(settings.key_file);
  }
  return result;
}

std::string ReadWholeFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ReadKey(const std::string& path) {
  std::string key = ReadWholeFile(path);
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  if (key.size() < internal::kMinKeyBytes) {
    throw Poco::DataException("the key file must hold at least 16 bytes", path);
  }
  return key;
}

std::string AdvertisedAddress(const std::string& listen,
                              std::uint16_t port,
                              const std::string& peers_address) {
  const std::string host = internal::HostOf(listen);
  const bool is_any = host == "0.0.0.0";
  return (is_any ? internal::HostOf(peers_address) : host) + ":" +
         std::to_string(port);
}

}  // namespace acaciaferry
