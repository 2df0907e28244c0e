//! Quotas of branches over all nodes, as tokens that are minted by all nodes and only move.

pub mod allowance;
pub mod collector;
pub mod table;
pub mod tokens;
