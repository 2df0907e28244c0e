//! What a load run measured.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::http::client::ClientStep;

use super::claims::RequestClaim;
use super::tally::{Counts, LatencyHistogram, SecondTally};

/// Latencies in µs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 99 in 100 are no longer.
    pub p99_us: u64,
    /// 999 in 1000 are no longer.
    pub p999_us: u64,
    /// Longest.
    pub max_us: u64,
}

impl From<&LatencyHistogram> for Latencies {
    fn from(histogram: &LatencyHistogram) -> Self {
        let histogram = &histogram.0;
        Self {
            count: histogram.len(),
            mean_us: histogram.mean(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Answers with one status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusCount {
    /// Status code.
    pub status: u16,
    /// Answers.
    pub count: u64,
}

/// Refusals for one reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Reason of the problem document, or `no-reason`.
    pub reason: String,
    /// Refusals.
    pub count: u64,
}

/// Answers lost at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostCount {
    /// Step that failed.
    pub step: ClientStep,
    /// Answers lost.
    pub count: u64,
}

/// Answers by one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCount {
    /// Name of the backend server.
    pub server: String,
    /// Answers.
    pub count: u64,
}

/// Requests whose intended time lies in one second of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Second since the start, from 0.
    pub second: u64,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// Lost, late and wrong answers.
    pub failed: u64,
    /// Median latency of whole answers, in µs.
    pub p50_us: u64,
    /// 99th percentile of the latency of whole answers, in µs.
    pub p99_us: u64,
}

impl SecondReport {
    fn new(second: u64, tally: &SecondTally) -> Self {
        let latency = Latencies::from(&tally.latency);
        Self {
            second,
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            failed: tally.failed,
            p50_us: latency.p50_us,
            p99_us: latency.p99_us,
        }
    }
}

/// What was measured of one kind of request, or of all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers with a status of success that belong to their request.
    pub answered: u64,
    /// Attempts beyond the first.
    pub repeats: u64,
    /// Tries at the next target for want of a connection; no byte had been sent.
    pub moved: u64,
    /// Final answers by status.
    pub by_status: Vec<StatusCount>,
    /// Refusals by reason.
    pub by_reason: Vec<ReasonCount>,
    /// Answers lost with their connection.
    pub lost: Vec<LostCount>,
    /// Requests without an answer in time.
    pub timed_out: u64,
    /// Wrong answers: the sum of the three below.
    pub wrong_answers: u64,
    /// Answers that belong to another request.
    pub foreign_ids: u64,
    /// Answers of a length that was not declared or asked for.
    pub wrong_lengths: u64,
    /// Answers that are not those of a backend server stand-in.
    pub unreadable: u64,
    /// Whole answers by backend server.
    pub served_by: Vec<ServerCount>,
    /// Latency of whole answers, from the intended send time.
    pub latency: Latencies,
    /// Latency of refusals, from the intended send time.
    pub refusal_latency: Latencies,
    /// Delay between the intended and the actual send time.
    pub send_delay: Latencies,
    /// The run by second.
    pub seconds: Vec<SecondReport>,
}

impl KindReport {
    pub(super) fn new(name: String, counts: &Counts) -> Self {
        let status = |(status, count): (&u16, &u64)| StatusCount {
            status: *status,
            count: *count,
        };
        let reason = |(reason, count): (&String, &u64)| ReasonCount {
            reason: reason.clone(),
            count: *count,
        };
        let lost = |(step, count): (&ClientStep, &u64)| LostCount {
            step: *step,
            count: *count,
        };
        let server = |(server, count): (&String, &u64)| ServerCount {
            server: server.clone(),
            count: *count,
        };
        let second = |(second, tally): (&u64, &SecondTally)| SecondReport::new(*second, tally);
        Self {
            name,
            sent: counts.sent,
            answered: counts.answered,
            repeats: counts.repeats,
            moved: counts.moved,
            by_status: counts.by_status.iter().map(status).collect(),
            by_reason: counts.by_reason.iter().map(reason).collect(),
            lost: counts.lost.iter().map(lost).collect(),
            timed_out: counts.timed_out,
            wrong_answers: counts.foreign_ids + counts.wrong_lengths + counts.unreadable,
            foreign_ids: counts.foreign_ids,
            wrong_lengths: counts.wrong_lengths,
            unreadable: counts.unreadable,
            served_by: counts.served_by.iter().map(server).collect(),
            latency: Latencies::from(&counts.answered_latency),
            refusal_latency: Latencies::from(&counts.refused_latency),
            send_delay: Latencies::from(&counts.send_delay),
            seconds: counts.seconds.iter().map(second).collect(),
        }
    }
}

/// What one run measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time from the first intended send time to the last outcome, in ms.
    pub elapsed_ms: u64,
    /// Whole answers per second of the run's set length.
    pub answered_per_s: f64,
    /// All kinds together.
    pub overall: KindReport,
    /// Each kind, in the order given.
    pub kinds: Vec<KindReport>,
    /// What was claimed about each request, when asked for.
    pub claims: Vec<RequestClaim>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "elapsed {} ms, {:.0} answered/s",
            self.elapsed_ms, self.answered_per_s
        )?;
        writeln!(
            f,
            "{:24} {:>8} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}",
            "kind", "sent", "answered", "refused", "lost", "wrong", "p50", "p99", "p99.9", "max µs"
        )?;
        for kind in self.kinds.iter().chain([&self.overall]) {
            write_row(f, kind)?;
        }
        for reason in &self.overall.by_reason {
            writeln!(f, "refused {}: {}", reason.reason, reason.count)?;
        }
        for server in &self.overall.served_by {
            writeln!(f, "served by {}: {}", server.server, server.count)?;
        }
        let delay = self.overall.send_delay;
        writeln!(
            f,
            "send delay p50 {} p99 {} max {} µs",
            delay.p50_us, delay.p99_us, delay.max_us
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, kind: &KindReport) -> fmt::Result {
    let lost = kind.lost.iter().map(|lost| lost.count).sum::<u64>() + kind.timed_out;
    let latency = kind.latency;
    writeln!(
        f,
        "{:24} {:>8} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}",
        kind.name,
        kind.sent,
        kind.answered,
        kind.refusal_latency.count,
        lost,
        kind.wrong_answers,
        latency.p50_us,
        latency.p99_us,
        latency.p999_us,
        latency.max_us
    )
}
