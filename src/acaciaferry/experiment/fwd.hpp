#pragma once

namespace acaciaferry {

class engine_model;
class fleet_simulation;
class service_model;
struct baseline_state;
struct bound_check;
struct engine_parameters;
struct fleet_parameters;
struct measurement_row;
struct run_plan;
struct run_result;
struct traffic_request;

}  // namespace acaciaferry
