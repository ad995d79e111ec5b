#include "acaciaferry/ini/document.hpp"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <sstream>

namespace acaciaferry {
namespace internal {

using poco_ini = Poco::Util::IniFileConfiguration;

// POCO splits keys at every dot, so the heading [workload.audits] becomes two
// nested levels. A child with a value is an entry of the unlabelled section; a
// child without one is the label of a section.
void CollectSections(const poco_ini& ini,
                     const std::string& kind,
                     ini_document& document) {
  poco_ini::Keys keys;
  ini.keys(kind, keys);
  ini_section unlabelled{kind, "", {}};
  for (const std::string& key : keys) {
    const std::string path = kind + "." + key;
    if (ini.hasProperty(path)) {
      unlabelled.entries.push_back({key, ini.getRawString(path)});
      continue;
    }
    poco_ini::Keys fields;
    ini.keys(path, fields);
    ini_section labelled{kind, key, {}};
    for (const std::string& field : fields) {
      labelled.entries.push_back(
          {field, ini.getRawString(path + "." + field, "")});
    }
    document.sections.push_back(std::move(labelled));
  }
  if (!unlabelled.entries.empty()) {
    document.sections.push_back(std::move(unlabelled));
  }
}

}  // namespace internal

std::string ToString(const setting_fault& fault) {
  return "[" + fault.section + "] " + fault.key + " = \"" + fault.value +
         "\": allowed is " + fault.allowed;
}

ini_document ParseIni(std::string_view text,
                      std::vector<setting_fault>& faults) {
  ini_document document;
  try {
    std::istringstream stream{std::string(text)};
    const Poco::AutoPtr<internal::poco_ini> ini(new internal::poco_ini(stream));
    internal::poco_ini::Keys kinds;
    ini->keys(kinds);
    for (const std::string& kind : kinds) {
      internal::CollectSections(*ini, kind, document);
    }
  } catch (const Poco::Exception& error) {
    faults.push_back({"", "", error.displayText(), "INI text"});
  }
  return document;
}

}  // namespace acaciaferry
