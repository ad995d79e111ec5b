#include <iostream>
#include <string_view>

#include "command.hpp"

namespace ctl {
namespace {

// The names of the commands are put between the two parts.
constexpr std::string_view kBegin = R"(# bash completion for acaciaferryctl
_acaciaferryctl() {
  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local words
  COMPREPLY=()
  case $previous in
    --output | -o) words='text json' ;;
    --token-file | -t) mapfile -t COMPREPLY < <(compgen -f -- "$current"); return ;;
    --address | -a | --count | -n) return ;;
    *)
      if [ "$COMP_CWORD" -eq 1 ]; then
        words=')";

constexpr std::string_view kEnd = R"(--help --version'
      elif [ "${COMP_WORDS[1]}" = questionnaire ]; then
        if [ "$COMP_CWORD" -gt 2 ]; then
          mapfile -t COMPREPLY < <(compgen -f -- "$current")
          return
        fi
        words='ask check generate explain diff --help'
      elif [ "${COMP_WORDS[1]}" != completion ]; then
        words='--address --token-file --output --help'
        [ "${COMP_WORDS[1]}" = watch ] && words+=' --count'
      fi
      ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
}
complete -F _acaciaferryctl acaciaferryctl
)";

}  // namespace

int RunCompletion(arguments words) {
  if (!words.empty()) {
    std::cerr << "usage: acaciaferryctl completion\n";
    return kUsage;
  }
  std::cout << kBegin;
  for (const command& each : Commands()) {
    std::cout << each.name << ' ';
  }
  std::cout << kEnd;
  return kOk;
}

}  // namespace ctl
