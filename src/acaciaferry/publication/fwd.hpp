#pragma once

namespace acaciaferry::publication {

class reader;
struct item;
struct view;

}  // namespace acaciaferry::publication
