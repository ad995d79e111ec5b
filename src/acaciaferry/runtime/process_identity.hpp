#pragma once

#include <cstdint>
#include <string>

#include "acaciaferry/reducer/state.hpp"
#include "acaciaferry/settings/daemon_settings.hpp"

namespace acaciaferry {

/** @return An incarnation number: the time in milliseconds and random bits. */
[[nodiscard]] std::uint64_t MakeIncarnation();

/** @return The reducer's state at the start of a process. */
[[nodiscard]] state MakeInitialState(const daemon_settings& settings,
                                     std::uint64_t incarnation);

/** @return A file's content; empty when it cannot be read. */
[[nodiscard]] std::string ReadWholeFile(const std::string& path);

/**
 * @brief Reads the deployment's secret key.
 * @param path File with the key; trailing white space is removed.
 * @return The key.
 * @throws Poco::DataException when the key is shorter than 16 bytes.
 */
[[nodiscard]] std::string ReadKey(const std::string& path);

/**
 * @brief Returns the address for callers that is advertised to peers.
 * @param listen IP:PORT of the settings; for 0.0.0.0 the IP of peers_address is
 * used.
 * @param port The bound port.
 * @param peers_address The address that peers reach this VM at.
 * @return IP:PORT.
 */
[[nodiscard]] std::string AdvertisedAddress(const std::string& listen,
                                            std::uint16_t port,
                                            const std::string& peers_address);

}  // namespace acaciaferry
