//! Roll-outs on a host: applies orders, spreads what is known, and writes decisions.

pub mod requests;
pub mod run;
pub mod spread;
pub mod state;
pub mod status_record;
pub mod wire;
