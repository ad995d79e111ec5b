#pragma once

namespace acaciaferry {

class token_check;
struct administration_reply;

}  // namespace acaciaferry
