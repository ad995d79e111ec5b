#!/usr/bin/env bash
# Guards against a command that help, completion or the manual page leave out,
# against settings that the manual page leaves out, and against a completion
# script that bash cannot run.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"
# The completion script needs the shell's own command of that name.
unset -f complete

commands=$("$bin/acaciaferryctl" --help | sed -n 's/^  \([a-z]*\)  .*/\1/p')
[ "$(wc -l <<<"$commands")" -ge 12 ] || { echo "the help text lists: $commands"; exit 1; }
"$bin/acaciaferryctl" completion >"$work/completion"
source "$work/completion"
# Sets COMPREPLY to what is offered for the last of the words.
complete_words() {
  COMP_WORDS=("$@")
  COMP_CWORD=$(($# - 1))
  _acaciaferryctl
}
for command in $commands; do
  "$bin/acaciaferryctl" "$command" --help | expect_text "^  acaciaferryctl $command"
  complete_words acaciaferryctl "$command"
  [ "${COMPREPLY[*]}" = "$command" ] || { echo "$command completes to ${COMPREPLY[*]}"; exit 1; }
  expect_text "^\.B $command\b" <"$root/docs/man/acaciaferryctl.1"
done
complete_words acaciaferryctl status --output ''
[ "${COMPREPLY[*]}" = "text json" ] || { echo "--output completes to ${COMPREPLY[*]}"; exit 1; }
complete_words acaciaferryctl questionnaire g
[ "${COMPREPLY[*]}" = generate ] || { echo "g completes to ${COMPREPLY[*]}"; exit 1; }
code=0
"$bin/acaciaferryctl" completion zsh 2>/dev/null || code=$?
[ $code -eq 2 ]

keys=$(tr '\n' ' ' <"$root/src/acaciaferry/settings/daemon_settings.cpp" |
  grep -o 'reader\.[A-Za-z]*( *"[a-z_]*"' | sed 's/.*"\(.*\)"/\1/' | sort -u)
[ "$(wc -l <<<"$keys")" -ge 14 ] || { echo "settings found: $keys"; exit 1; }
for key in $keys; do
  expect_text "^\.IR\? $key\b" <"$root/docs/man/acaciaferryd.1"
done
for page in acaciaferryctl acaciaferryd; do
  expect_text "^\.TH ${page^^} 1 " <"$root/docs/man/$page.1"
done
echo "command_line: $(wc -l <<<"$commands") commands have help, completion and a manual entry"
