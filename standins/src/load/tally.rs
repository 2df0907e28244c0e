//! Counts and latencies of one kind of request.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::http::client::ClientStep;

use super::answer_check::AnswerFault;
use super::claims::RequestClaim;
use super::outcome::{Loss, Outcome};

/// Longest latency that is told apart.
const LATENCY_US_MAX: u64 = 600_000_000;
/// Significant digits of a latency over the whole run.
const RUN_DIGITS: u8 = 3;
/// Significant digits of a latency within one second.
const SECOND_DIGITS: u8 = 2;

/// Name under which refusals without a reason are counted.
const NO_REASON: &str = "no-reason";

/// Latencies in µs.
#[derive(Debug, Clone)]
pub(super) struct LatencyHistogram(pub Histogram<u64>);

impl LatencyHistogram {
    fn new(digits: u8) -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_US_MAX, digits);
        Self(histogram.expect("the bounds are valid"))
    }

    fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("all bounds are alike");
    }
}

/// Counts of requests whose intended time lies in one second.
#[derive(Debug, Clone)]
pub(super) struct SecondTally {
    pub sent: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub latency: LatencyHistogram,
}

impl Default for SecondTally {
    fn default() -> Self {
        let latency = LatencyHistogram::new(SECOND_DIGITS);
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            latency,
        }
    }
}

impl SecondTally {
    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.latency.merge(&other.latency);
    }
}

/// Everything counted of one kind, or of all.
#[derive(Debug, Clone)]
pub(super) struct Counts {
    pub sent: u64,
    pub answered: u64,
    pub repeats: u64,
    pub moved: u64,
    pub timed_out: u64,
    pub foreign_ids: u64,
    pub wrong_lengths: u64,
    pub unreadable: u64,
    pub by_status: BTreeMap<u16, u64>,
    pub by_reason: BTreeMap<String, u64>,
    pub lost: BTreeMap<ClientStep, u64>,
    pub served_by: BTreeMap<String, u64>,
    pub answered_latency: LatencyHistogram,
    pub refused_latency: LatencyHistogram,
    pub send_delay: LatencyHistogram,
    pub seconds: BTreeMap<u64, SecondTally>,
    pub claims: Vec<RequestClaim>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            repeats: 0,
            moved: 0,
            timed_out: 0,
            foreign_ids: 0,
            wrong_lengths: 0,
            unreadable: 0,
            by_status: BTreeMap::new(),
            by_reason: BTreeMap::new(),
            lost: BTreeMap::new(),
            served_by: BTreeMap::new(),
            answered_latency: LatencyHistogram::new(RUN_DIGITS),
            refused_latency: LatencyHistogram::new(RUN_DIGITS),
            send_delay: LatencyHistogram::new(RUN_DIGITS),
            seconds: BTreeMap::new(),
            claims: Vec::new(),
        }
    }
}

fn merge_map<K: Ord + Clone>(into: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (key, count) in from {
        *into.entry(key.clone()).or_default() += count;
    }
}

impl Counts {
    /// Adds the counts of another kind.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.repeats += other.repeats;
        self.moved += other.moved;
        self.timed_out += other.timed_out;
        self.foreign_ids += other.foreign_ids;
        self.wrong_lengths += other.wrong_lengths;
        self.unreadable += other.unreadable;
        merge_map(&mut self.by_status, &other.by_status);
        merge_map(&mut self.by_reason, &other.by_reason);
        merge_map(&mut self.lost, &other.lost);
        merge_map(&mut self.served_by, &other.served_by);
        self.answered_latency.merge(&other.answered_latency);
        self.refused_latency.merge(&other.refused_latency);
        self.send_delay.merge(&other.send_delay);
        for (second, tally) in &other.seconds {
            self.seconds.entry(*second).or_default().merge(tally);
        }
        self.claims.extend(other.claims.iter().cloned());
    }

    fn second(&mut self, intended: Duration) -> &mut SecondTally {
        self.seconds.entry(intended.as_secs()).or_default()
    }

    fn count_status(&mut self, status: u16) {
        *self.by_status.entry(status).or_default() += 1;
    }

    fn count_outcome(&mut self, outcome: &Outcome, intended: Duration, latency: Duration) {
        match outcome {
            Outcome::Answered { status, served_by } => {
                self.answered += 1;
                self.count_status(status.as_u16());
                *self.served_by.entry(served_by.clone()).or_default() += 1;
                self.answered_latency.record(latency);
                let second = self.second(intended);
                second.answered += 1;
                second.latency.record(latency);
            }
            Outcome::Refused { status, problem } => {
                self.count_status(status.as_u16());
                let reason = problem.reason.as_deref().unwrap_or(NO_REASON);
                *self.by_reason.entry(reason.to_owned()).or_default() += 1;
                self.refused_latency.record(latency);
                self.second(intended).refused += 1;
            }
            Outcome::Wrong(fault) => {
                self.count_fault(*fault);
                self.second(intended).failed += 1;
            }
            Outcome::Lost(loss) => {
                self.count_loss(*loss);
                self.second(intended).failed += 1;
            }
        }
    }

    fn count_fault(&mut self, fault: AnswerFault) {
        match fault {
            AnswerFault::ForeignId => self.foreign_ids += 1,
            AnswerFault::WrongLength => self.wrong_lengths += 1,
            AnswerFault::Unreadable => self.unreadable += 1,
        }
    }

    fn count_loss(&mut self, loss: Loss) {
        match loss {
            Loss::Connection(step) => *self.lost.entry(step).or_default() += 1,
            Loss::TimedOut => self.timed_out += 1,
        }
    }
}

/// Counts of one kind, shared by its callers.
#[derive(Debug)]
pub(super) struct Tally {
    counts: Mutex<Counts>,
    records_claims: bool,
}

impl Tally {
    /// Begins to count.
    pub fn new(records_claims: bool) -> Self {
        Self {
            counts: Mutex::default(),
            records_claims,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request at its intended time.
    pub fn count_sent(&self, intended: Duration) {
        let mut counts = self.lock();
        counts.sent += 1;
        counts.second(intended).sent += 1;
    }

    /// Counts a further attempt of a request.
    pub fn count_repeat(&self) {
        self.lock().repeats += 1;
    }

    /// Counts a try for want of a connection to the target before.
    pub fn count_moved(&self) {
        self.lock().moved += 1;
    }

    /// Records how long after its intended time a request was sent.
    pub fn record_send_delay(&self, delay: Duration) {
        self.lock().send_delay.record(delay);
    }

    /// Counts how a request ended.
    pub fn count_outcome(
        &self,
        outcome: &Outcome,
        intended: Duration,
        latency: Duration,
        claim: RequestClaim,
    ) {
        let mut counts = self.lock();
        counts.count_outcome(outcome, intended, latency);
        if self.records_claims {
            counts.claims.push(claim);
        }
    }

    /// Copies what was counted.
    pub fn read(&self) -> Counts {
        self.lock().clone()
    }
}
