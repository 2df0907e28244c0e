//! Shared by several test files.

pub mod cases;
