#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "acaciaferry/administration/log_walk.hpp"
#include "command.hpp"
#include "table.hpp"

namespace ctl {
namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;

constexpr long kTimeoutSeconds = 5;
constexpr int kFirstErrorStatus = 300;

/** What every remote command takes. */
struct remote_options {
  std::string address;
  std::string token;
  bool json_output{};
  unsigned watch_count{};
};

std::string FirstLine(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

// Parses the options that all remote commands share.
remote_options ParseOptions(const std::string& name, arguments words) {
  TCLAP::CmdLine line("Asks a daemon's administration API.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address(
      "a", "address", "The daemon's operators' listener.", false,
      "127.0.0.1:9090", "IP:PORT", line);
  TCLAP::ValueArg<std::string> token_file(
      "t", "token-file", "File with the operator's token.", false,
      "/etc/acaciaferry/operator.token", "FILE", line);
  std::vector<std::string> formats{"text", "json"};
  TCLAP::ValuesConstraint<std::string> allowed(formats);
  TCLAP::ValueArg<std::string> output("o", "output", "Form of the output.",
                                      false, "text", &allowed, line);
  TCLAP::ValueArg<unsigned> count("n", "count",
                                  "Pictures to show before ending; 0 for no "
                                  "end (watch only).",
                                  false, 0, "N", line);
  // Otherwise TCLAP would end the process with 1 on wrong usage.
  line.setExceptionHandling(false);
  std::vector<std::string> all{"acaciaferryctl " + name};
  all.insert(all.end(), words.begin(), words.end());
  line.parse(all);
  return {address.getValue(), FirstLine(token_file.getValue()),
          output.getValue() == "json", count.getValue()};
}

/** A reply of the administration API. */
struct remote_reply {
  int status{};
  json body;
};

remote_reply Ask(const remote_options& options,
                 const std::string& method,
                 const std::string& path) {
  Poco::Net::HTTPClientSession session{
      Poco::Net::SocketAddress(options.address)};
  session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
  request.set("Authorization", "Bearer " + options.token);
  request.setContentLength(0);
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string text;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
  return {static_cast<int>(response.getStatus()),
          json::parse(text, nullptr, false)};
}

int Print(const remote_options& options, const remote_reply& reply) {
  if (reply.status >= kFirstErrorStatus || reply.body.is_discarded()) {
    std::cerr << "acaciaferryctl: the daemon answered with status "
              << reply.status << ": " << reply.body.dump() << '\n';
    return kFailed;
  }
  if (options.json_output) {
    std::cout << reply.body.dump(2) << '\n';
  } else {
    std::cout << FormatTable(reply.body);
  }
  return kOk;
}

int Show(const std::string& name, arguments words) {
  const remote_options options = ParseOptions(name, words);
  return Print(options,
               Ask(options, HTTPRequest::HTTP_GET, "/admin/v1/" + name));
}

}  // namespace

int RunStatus(arguments words) {
  return Show("status", words);
}

int RunTargets(arguments words) {
  return Show("targets", words);
}

int RunPeers(arguments words) {
  return Show("peers", words);
}

int RunWorkspaces(arguments words) {
  return Show("workspaces", words);
}

int RunConfiguration(arguments words) {
  return Show("configuration", words);
}

int RunRefusals(arguments words) {
  return Show("refusals", words);
}

int RunRequests(arguments words) {
  return Show("requests", words);
}

// Explains a request from a decision log, without a daemon.
int ExplainLog(const std::string& path, const std::string& id) {
  std::ifstream log(path);
  if (!log) {
    std::cerr << "acaciaferryctl: cannot read " << path << '\n';
    return kFailed;
  }
  const auto text = acaciaferry::ExplainFromLog(log, id);
  if (!text) {
    std::cerr << "acaciaferryctl: " << path << " does not name " << id << '\n';
    return kFailed;
  }
  std::cout << *text;
  return kOk;
}

int RunExplain(arguments words) {
  constexpr std::size_t kLogWords = 3;
  if (words.size() == kLogWords && words.front() == "--log") {
    return ExplainLog(words[1], words[2]);
  }
  if (words.empty() || words.front().starts_with('-')) {
    std::cerr << "usage: acaciaferryctl explain REQUEST-ID [OPTIONS]\n"
                 "       acaciaferryctl explain --log FILE REQUEST-ID\n";
    return kUsage;
  }
  const remote_options options = ParseOptions("explain", words.subspan(1));
  return Print(options, Ask(options, HTTPRequest::HTTP_GET,
                            "/admin/v1/requests/" + words.front()));
}

int RunDrain(arguments words) {
  const remote_options options = ParseOptions("drain", words);
  return Print(options,
               Ask(options, HTTPRequest::HTTP_POST, "/admin/v1/drain"));
}

int RunWatch(arguments words) {
  constexpr std::string_view kClearScreen = "\x1b[H\x1b[2J";
  constexpr std::chrono::seconds kInterval{1};
  const remote_options options = ParseOptions("watch", words);
  for (unsigned shown = 1;; ++shown) {
    const remote_reply status =
        Ask(options, HTTPRequest::HTTP_GET, "/admin/v1/status");
    const remote_reply targets =
        Ask(options, HTTPRequest::HTTP_GET, "/admin/v1/targets");
    std::cout << kClearScreen;
    if (Print(options, status) != kOk) {
      return kFailed;
    }
    std::cout << '\n';
    if (Print(options, targets) != kOk) {
      return kFailed;
    }
    std::cout << std::flush;
    if (shown == options.watch_count) {
      return kOk;
    }
    std::this_thread::sleep_for(kInterval);
  }
}

}  // namespace ctl
