//! Macro that names each case of a test file.

/// Declares one test per case, each calling the same check with its own values.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($(#[$meta:meta])* $name:ident($($value:expr),* $(,)?);)+) => {
        $($(#[$meta])* #[test] fn $name() { $check($($value),*); })+
    };
}
