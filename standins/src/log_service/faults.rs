//! Faults of the log stand-in.

use serde::{Deserialize, Serialize};

/// How the log is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// It answers.
    #[default]
    Up,
    /// Every request is refused at once with 503.
    Refuse,
    /// No request is answered until the fault ends.
    Hang,
}

/// Faults in force. Absent fields are without fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::Args)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether and how the log is down
    #[arg(long, value_enum, default_value = "up")]
    pub down: DownMode,
    /// Time added to each request, in ms
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Appends taken per second; more are refused with 429
    #[arg(long)]
    pub appends_per_s: Option<u32>,
    /// Share of appends that take effect and whose connection is then cut, in percent
    #[arg(long, default_value_t = 0)]
    pub lose_answer_percent: u8,
    /// Records kept per stream
    #[arg(long)]
    pub retention_records: Option<u64>,
    /// Time that records are kept, in ms
    #[arg(long)]
    pub retention_ms: Option<u64>,
}
