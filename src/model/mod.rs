//! Types that all parts share: names, identifiers, reasons, load reports and configuration.

pub mod config;
pub mod ids;
pub mod load;
pub mod names;
pub mod reasons;
pub mod request;
