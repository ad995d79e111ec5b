#pragma once

namespace acaciaferry {

class ini_reader;
struct ini_document;
struct ini_entry;
struct ini_section;
struct setting_fault;

}  // namespace acaciaferry
