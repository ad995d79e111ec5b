#include "acaciaferry/entry/peer_exchange.hpp"

#include <algorithm>

namespace acaciaferry::entry {
namespace internal {
namespace {

// Returns the IP of an address with the port of another one.
std::string ReplacePort(const std::string& address, const std::string& other) {
  return address.substr(0, address.rfind(':')) + other.substr(other.rfind(':'));
}

std::vector<std::string> DatagramSeedAddresses(const entry_settings& settings) {
  std::vector<std::string> seeds;
  for (const std::string& seed : settings.seeds) {
    seeds.push_back(ReplacePort(seed, settings.datagram_address));
  }
  return seeds;
}

mesh::peer_identity MakeIdentity(const entry_settings& settings,
                                 std::uint64_t incarnation) {
  return {settings.vm,
          settings.failure_domain,
          incarnation,
          settings.datagram_address,
          settings.control_address,
          DatagramSeedAddresses(settings),
          std::find(settings.seeds.begin(), settings.seeds.end(),
                    settings.control_address) != settings.seeds.end(),
          settings.capacity};
}

}  // namespace
}  // namespace internal

peer_exchange::peer_exchange(boost::asio::io_context& loop,
                             const entry_settings& settings,
                             std::uint64_t incarnation,
                             const forwarding::state& state,
                             decision_log& log,
                             entry_metrics& metrics,
                             const clock_source& clock,
                             handlers callbacks)
    : settings_(settings),
      datagrams_(loop,
                 [this](std::string_view bytes, const std::string& sender) {
                   protocol_.OnDatagram(bytes, sender);
                 }),
      protocol_(internal::MakeIdentity(settings, incarnation),
                state,
                clock,
                {[this](const std::string& address, const std::string& bytes) {
                   datagrams_.Send(address, bytes);
                 },
                 [this](duration after) { RequestFlush(after); },
                 std::move(callbacks.post), std::move(callbacks.status),
                 std::move(callbacks.on_newer_view),
                 std::move(callbacks.on_heartbeat_interval),
                 [&log](std::string_view event, const log_fields& fields) {
                   log.WriteEvent(event, fields);
                 },
                 [&metrics] { metrics.CountMalformedDatagram(); },
                 [&metrics] { metrics.CountUnknownSender(); }}),
      heartbeat_timer_(loop),
      flush_timer_(loop) {}

std::optional<std::string> peer_exchange::Bind() {
  return datagrams_.Bind(settings_.datagram_address);
}

void peer_exchange::ReloadSeeds() {
  protocol_.SetSeeds(internal::DatagramSeedAddresses(settings_));
}

void peer_exchange::OnHeartbeatInterval() {
  heartbeat_timer_.expires_after(protocol_.OnHeartbeatInterval());
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnHeartbeatInterval();
    }
  });
}

void peer_exchange::RequestFlush(duration after) {
  flush_timer_.expires_after(after);
  flush_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      protocol_.FlushNews();
    }
  });
}

}  // namespace acaciaferry::entry
