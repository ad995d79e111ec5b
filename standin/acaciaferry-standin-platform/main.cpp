#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "platform_server.hpp"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stands in for the platform.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> vms("", "vms", "File with the list of VMs.",
                                   true, "", "FILE", command);
  TCLAP::ValueArg<std::string> configuration(
      "", "configuration", "JSON file with revision and document.", false, "",
      "FILE", command);
  TCLAP::ValueArg<std::int64_t> vm_lag("", "vm-lag-ms", "Lag of the VM list.",
                                       false, 0, "MS", command);
  command.parse(argc, argv);
  acaciaferry::standin::platform_server server(
      vms.getValue(), configuration.getValue(),
      std::chrono::milliseconds(vm_lag.getValue()));
  acaciaferry::standin::ServeUntilSignal(
      address.getValue(), [&server](auto& request, auto& response) {
        server.Handle(request, response);
      });
}
