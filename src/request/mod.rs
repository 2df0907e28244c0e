//! Request processing: accept, classify, route, forward, admit, dispatch, answer, in this order.

pub mod admission;
pub mod attempt;
pub mod call;
pub mod classify;
pub mod directory;
pub mod dispatch;
pub mod entry;
pub mod executor;
pub mod forward;
pub mod headers;
pub mod problem;
pub mod state;
pub mod ticketed;
