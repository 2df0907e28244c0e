//! HTTP/1.1 pieces that the stand-ins share.

pub mod answer;
pub mod client;
pub mod listener;
pub mod query;
