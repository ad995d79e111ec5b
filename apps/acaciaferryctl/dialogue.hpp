#pragma once

#include <iosfwd>
#include <string>

namespace ctl {

/**
 * @brief Asks every question that an answers file leaves open, and writes the
 * file after each answer, so that the dialogue can be resumed.
 * @param path The answers file; created when it does not exist.
 * @param in Where the answers come from.
 * @param out Where the questions go.
 * @return Whether all questions are answered without contradiction.
 */
bool RunDialogue(const std::string& path, std::istream& in, std::ostream& out);

}  // namespace ctl
