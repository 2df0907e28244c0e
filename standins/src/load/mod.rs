//! Open-loop load generator.
