//! Branches of the configuration on a host: whose requests these are, and what they may send.

pub mod keys;
pub mod proofs;
pub mod proven_reads;
pub mod quotas;
pub mod state;
pub mod wire;
