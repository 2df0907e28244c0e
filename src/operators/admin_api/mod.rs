//! Administration API: HTTP for operators, on an address of its own.
//!
//! Versions travel as `ETag` and `If-Match`, change ids as `Bronzelock-Change-Id`, and
//! errors as problem documents (RFC 9457). `docs/operators/` describes each call.

pub mod access;
pub mod backend;
mod change_headers;
pub mod documents;
pub mod problem;
mod publishing;
mod reading;
mod routes;

pub use routes::routes;

/// Header with the id that an operator's client gives to a change.
pub const CHANGE_ID_HEADER: &str = "bronzelock-change-id";
/// Header with the name that losers of a race are told.
pub const AUTHOR_HEADER: &str = "bronzelock-author";
/// Header that confirms a change in spite of warnings.
pub const CONFIRM_HEADER: &str = "bronzelock-confirm";
/// Value of [`CONFIRM_HEADER`] that confirms.
pub const CONFIRM_VALUE: &str = "yes";
