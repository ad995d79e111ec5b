#pragma once

namespace acaciaferry {

struct deployment;
struct policy;
struct pool;
struct workload;
struct workspace;

}  // namespace acaciaferry
