//! Latency histograms with fixed buckets, in the Prometheus text format.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::model::units::US_PER_MS;

/// Upper bounds of the buckets, in ms; a last bucket is unbounded.
const BOUNDS_MS: [u64; 12] = [1, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/// Stage of a request whose duration is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the arrival of a caller's request to the answer of a backend server.
    Answered,
    /// From the arrival of a caller's request to its refusal.
    Refused,
    /// Waiting at the gate.
    GateWait,
    /// Running at the backend server.
    ServerRun,
    /// Round trip to another host, including the run there.
    PeerRoundTrip,
}

impl Stage {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::Refused,
        Self::GateWait,
        Self::ServerRun,
        Self::PeerRoundTrip,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::GateWait => "gate-wait",
            Self::ServerRun => "server-run",
            Self::PeerRoundTrip => "peer-trip",
        }
    }
}

#[derive(Debug, Default)]
struct Histogram {
    counts: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_us: AtomicU64,
}

/// One histogram for each stage.
#[derive(Debug, Default)]
pub struct Latencies {
    histograms: [Histogram; Stage::ALL.len()],
}

impl Latencies {
    /// Records one duration, in µs.
    pub fn add(&self, stage: Stage, took_us: u64) {
        let histogram = &self.histograms[stage as usize];
        let bucket = BOUNDS_MS.partition_point(|bound_ms| bound_ms * US_PER_MS < took_us);
        histogram.counts[bucket].fetch_add(1, Ordering::Relaxed);
        histogram.sum_us.fetch_add(took_us, Ordering::Relaxed);
    }

    /// Returns all histograms as text, with cumulative buckets.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for stage in Stage::ALL {
            if let Err(error) = self.histograms[stage as usize].write(stage.name(), &mut text) {
                log::error!(
                    "latency: failed to format the {} histogram: {error}",
                    stage.name()
                );
            }
        }
        text
    }
}

impl Histogram {
    fn write(&self, stage: &str, text: &mut String) -> std::fmt::Result {
        let bounds = BOUNDS_MS.iter().map(u64::to_string);
        let bounds = bounds.chain(["+Inf".to_owned()]);
        let mut count = 0;
        for (bound, bucket) in bounds.zip(&self.counts) {
            count += bucket.load(Ordering::Relaxed);
            writeln!(
                text,
                "bronzelock_latency_ms_bucket{{stage=\"{stage}\",le=\"{bound}\"}} {count}"
            )?;
        }
        let sum_ms = self.sum_us.load(Ordering::Relaxed) / US_PER_MS;
        writeln!(
            text,
            "bronzelock_latency_ms_sum{{stage=\"{stage}\"}} {sum_ms}"
        )?;
        writeln!(
            text,
            "bronzelock_latency_ms_count{{stage=\"{stage}\"}} {count}"
        )
    }
}
