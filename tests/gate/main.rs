//! Tests of the gate and of the probe budget.

mod admission;
mod cold_start;
mod fairness;
mod limit;
mod probe_budget;
mod random;
mod support;
