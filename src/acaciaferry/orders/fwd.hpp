#pragma once

namespace acaciaferry {

enum class order_action;
enum class order_verdict;
struct issue_order;
struct order_answered;
struct orders_state;
struct outstanding_order;
struct token_bucket;

}  // namespace acaciaferry
