#include <Poco/Exception.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>

#include "caller.hpp"
#include "corpus.hpp"
#include "options.hpp"
#include "plan.hpp"
#include "report.hpp"
#include "runner.hpp"

namespace {

using acaciaferry::load::options;
using std::chrono::milliseconds;
using std::chrono::seconds;

options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine command("Sends a mixed load and verifies every answer.", ' ',
                         "0.1.0");
  TCLAP::MultiArg<std::string> entries("", "entry",
                                       "Callers' address of an entry VM.", true,
                                       "IP:PORT", command);
  TCLAP::MultiArg<std::string> journals("", "journal",
                                        "Address of a service stand-in.", false,
                                        "IP:PORT", command);
  TCLAP::ValueArg<std::string> text(
      "", "text", "Directory of the prompts' text.", true, "", "DIR", command);
  TCLAP::ValueArg<std::string> token("", "token", "Bearer token.", false,
                                     "secret", "TOKEN", command);
  TCLAP::ValueArg<std::string> model("", "model", "Model.", false,
                                     "batch-model", "NAME", command);
  TCLAP::ValueArg<std::string> service("", "service", "Plain service.", false,
                                       "kiosk", "NAME", command);
  TCLAP::ValueArg<std::string> mutating("", "mutating-path",
                                        "Path of calls that must run once.",
                                        false, "/vat-release", "PATH", command);
  TCLAP::ValueArg<std::string> reading("", "reading-path",
                                       "Path of idempotent calls.", false,
                                       "/stock", "PATH", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the load.", false, 1,
                                      "N", command);
  TCLAP::ValueArg<std::uint64_t> count("", "count", "Most requests.", false,
                                       100'000, "N", command);
  TCLAP::ValueArg<std::uint64_t> run_time(
      "", "seconds", "Time during which requests are sent.", false, 60,
      "SECONDS", command);
  TCLAP::ValueArg<double> rate("", "rate", "Requests a second.", false, 20, "N",
                               command);
  TCLAP::ValueArg<double> service_share("", "service-share",
                                        "Share of service calls.", false, 0.3,
                                        "SHARE", command);
  TCLAP::ValueArg<std::uint64_t> max_prompt("", "max-prompt-tokens",
                                            "Longest prompt.", false, 1'000'000,
                                            "N", command);
  TCLAP::ValueArg<std::uint64_t> max_output(
      "", "max-output-tokens", "Longest answer.", false, 100, "N", command);
  TCLAP::ValueArg<std::uint64_t> in_flight(
      "", "max-in-flight", "Requests in flight.", false, 1'000, "N", command);
  TCLAP::ValueArg<std::int64_t> short_timeout(
      "", "short-timeout-ms", "Time limit of prompts up to 32k.", false, 15'000,
      "MS", command);
  TCLAP::ValueArg<std::int64_t> long_timeout("", "long-timeout-ms",
                                             "Time limit of longer prompts.",
                                             false, 60'000, "MS", command);
  TCLAP::ValueArg<std::int64_t> service_timeout("", "service-timeout-ms",
                                                "Time limit of service calls.",
                                                false, 5'000, "MS", command);
  TCLAP::ValueArg<std::string> json("", "json", "Write the report here too.",
                                    false, "", "FILE", command);
  command.parse(argc, argv);
  if (rate.getValue() <= 0) {
    throw TCLAP::ArgException("must be above zero", "rate");
  }
  return {
      .entries = entries.getValue(),
      .journals = journals.getValue(),
      .text_directory = text.getValue(),
      .token = token.getValue(),
      .model = model.getValue(),
      .service = service.getValue(),
      .mutating_path = mutating.getValue(),
      .reading_path = reading.getValue(),
      .json_file = json.getValue(),
      .seed = seed.getValue(),
      .max_requests = count.getValue(),
      .run_time = seconds(run_time.getValue()),
      .requests_per_s = rate.getValue(),
      .service_share = service_share.getValue(),
      .max_prompt_tokens = max_prompt.getValue(),
      .max_output_tokens = std::max<std::uint64_t>(max_output.getValue(), 1),
      .max_in_flight = in_flight.getValue(),
      .short_timeout = milliseconds(short_timeout.getValue()),
      .long_timeout = milliseconds(long_timeout.getValue()),
      .service_timeout = milliseconds(service_timeout.getValue())};
}

void RunLoad(const options& options) {
  using namespace acaciaferry;
  const load::corpus text(options.text_directory);
  const steady_clock_source clock;
  const load::caller caller(options, text, clock);
  const auto results =
      load::RunPlan(options, load::MakePlan(options), caller, clock);
  std::vector<std::string> unread;
  const auto executions = load::ReadJournals(options.journals, unread);
  const auto report = load::MakeReport(results, executions, unread);
  load::PrintReport(report, std::cout);
  if (!options.json_file.empty()) {
    std::ofstream(options.json_file) << report.dump(2) << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kExitFailed = 1;
  constexpr int kExitBadOptions = 2;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    RunLoad(ParseOptions(argc, argv));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << '\n';
    return kExitBadOptions;
  } catch (const std::exception& error) {
    std::cerr << "acaciaferry-load: " << error.what() << '\n';
    return kExitFailed;
  }
  return 0;
}
