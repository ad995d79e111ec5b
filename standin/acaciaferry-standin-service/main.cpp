#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "service_server.hpp"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stands in for a plain service.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> name("", "name", "Target id.", true, "", "NAME",
                                    command);
  TCLAP::ValueArg<std::int64_t> work("", "work-ms", "Time of an execution.",
                                     false, 20, "MS", command);
  TCLAP::ValueArg<std::uint64_t> max_running(
      "", "max-running", "Calls at once; more are rejected.", false, 256, "N",
      command);
  TCLAP::SwitchArg deduplicates(
      "", "deduplicate", "Execute each Idempotency-Key at most once.", command);
  command.parse(argc, argv);
  acaciaferry::standin::service_server server(
      {.name = name.getValue(),
       .incarnation = acaciaferry::standin::MakeTargetIncarnation(),
       .work = std::chrono::milliseconds(work.getValue()),
       .max_running = max_running.getValue(),
       .deduplicates = deduplicates.getValue()});
  acaciaferry::standin::ServeUntilSignal(
      address.getValue(), [&server](auto& request, auto& response) {
        server.Handle(request, response);
      });
}
