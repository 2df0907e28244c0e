//! Settings for the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Address and streams of the log, and how they are read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Address of the log service.
    pub address: SocketAddr,
    /// Name of the stream of configuration changes.
    #[serde(default = "config_stream_default")]
    pub config_stream: Arc<str>,
    /// Name of the stream of records of started nodes.
    #[serde(default = "member_stream_default")]
    pub member_stream: Arc<str>,
    /// Timeout of each step of an append or read, in ms.
    #[serde(default = "timeout_ms_default")]
    pub timeout_ms: u64,
    /// Time for which a read waits for new records, in ms.
    #[serde(default = "read_wait_ms_default")]
    pub read_wait_ms: u64,
    /// Pause after a failed read, in ms; grows up to tenfold on repeated failures.
    #[serde(default = "retry_ms_default")]
    pub retry_ms: u64,
    /// Time for which the log keeps a record, in ms.
    #[serde(default = "retention_ms_default")]
    pub retention_ms: u64,
    /// Number of nodes per availability zone that read the log and forward its records.
    #[serde(default = "readers_per_zone_default")]
    pub readers_per_zone: usize,
}

fn config_stream_default() -> Arc<str> {
    "bronzelock-config".into()
}

fn member_stream_default() -> Arc<str> {
    "bronzelock-members".into()
}

fn timeout_ms_default() -> u64 {
    2_000
}

fn read_wait_ms_default() -> u64 {
    1_000
}

fn retry_ms_default() -> u64 {
    200
}

fn retention_ms_default() -> u64 {
    24 * 3_600_000
}

fn readers_per_zone_default() -> usize {
    2
}

impl LogSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range("log.timeout_ms", self.timeout_ms, 10..=60_000);
        problems.check_range("log.read_wait_ms", self.read_wait_ms, 0..=60_000);
        problems.check_range("log.retry_ms", self.retry_ms, 10..=60_000);
        problems.check_range("log.readers_per_zone", self.readers_per_zone as u64, 1..=16);
        problems.check_order(
            "log.read_wait_ms",
            self.read_wait_ms,
            "log.retention_ms",
            self.retention_ms,
        );
        for (path, stream) in [
            ("log.config_stream", &self.config_stream),
            ("log.member_stream", &self.member_stream),
        ] {
            if stream.is_empty() || stream.contains('/') {
                problems.add(path, format!("{stream:?}"), "a name without '/'");
            }
        }
        if self.config_stream == self.member_stream {
            problems.add(
                "log.member_stream",
                &self.member_stream,
                "a name other than log.config_stream",
            );
        }
    }
}
