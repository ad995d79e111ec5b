#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "engine_server.hpp"

int main(int argc, char** argv) {
  using acaciaferry::standin::engine_parameters;
  using acaciaferry::standin::engine_server;
  const engine_parameters defaults;
  TCLAP::CmdLine command("Stands in for a model engine.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> name("", "name", "Target id.", true, "", "NAME",
                                    command);
  TCLAP::MultiArg<std::string> models(
      "", "model", "A loaded model; without one, all are served.", false,
      "MODEL", command);
  TCLAP::ValueArg<double> speed("", "speed", "Factor on all rates.", false,
                                defaults.speed, "FACTOR", command);
  TCLAP::ValueArg<double> prefill("", "prefill-rate",
                                  "Prompt tokens a second at speed 1.", false,
                                  defaults.prefill_tokens_per_s, "N", command);
  TCLAP::ValueArg<double> decode("", "token-ms",
                                 "Time of a decoding step at speed 1.", false,
                                 defaults.decode_ms_per_token, "MS", command);
  TCLAP::ValueArg<std::uint64_t> step("", "step-tokens",
                                      "Token budget of a step.", false,
                                      defaults.step_tokens, "N", command);
  TCLAP::ValueArg<std::uint64_t> kv("", "kv-tokens", "KV memory in tokens.",
                                    false, defaults.kv_capacity_tokens, "N",
                                    command);
  TCLAP::ValueArg<std::uint64_t> max_running(
      "", "max-running", "Streams in a batch.", false, defaults.max_running,
      "N", command);
  TCLAP::ValueArg<std::uint64_t> max_waiting(
      "", "max-waiting", "Streams that may wait.", false, defaults.max_waiting,
      "N", command);
  TCLAP::ValueArg<std::int64_t> keep(
      "", "keep-ms", "Time for which a finished stream can be resumed.", false,
      10'000, "MS", command);
  TCLAP::ValueArg<std::int64_t> report_lag(
      "", "report-lag-ms", "Lag of load reports.", false, 0, "MS", command);
  TCLAP::ValueArg<std::int64_t> event_lag(
      "", "event-lag-ms", "Lag of cache events.", false, 0, "MS", command);
  TCLAP::ValueArg<std::uint64_t> event_loss(
      "", "event-loss-per-mille", "Share of cache events that are lost.", false,
      0, "N", command);
  TCLAP::SwitchArg ignore_fencing("", "ignore-fencing",
                                  "Accept orders with an old number.", command);
  command.parse(argc, argv);
  using std::chrono::milliseconds;
  const auto& model_list = models.getValue();
  engine_server server(
      {.name = name.getValue(),
       .incarnation = acaciaferry::standin::MakeTargetIncarnation(),
       .kv_capacity_tokens = kv.getValue(),
       .step_tokens = step.getValue(),
       .max_running = max_running.getValue(),
       .max_waiting = max_waiting.getValue(),
       .prefill_tokens_per_s = prefill.getValue(),
       .decode_ms_per_token = decode.getValue(),
       .speed = speed.getValue(),
       .keep_finished = milliseconds(keep.getValue()),
       .checks_fencing = !ignore_fencing.getValue(),
       .models = {model_list.begin(), model_list.end()}});
  server.SetLags(milliseconds(report_lag.getValue()),
                 milliseconds(event_lag.getValue()), event_loss.getValue());
  acaciaferry::standin::ServeUntilSignal(
      address.getValue(), [&server](auto& request, auto& response) {
        server.Handle(request, response);
      });
}
