//! One executor: the real ticket table, a queue and a backend server.

use std::collections::BTreeSet;
use std::sync::{Arc, LazyLock};

use bronzelock::decision::ticket::{
    ClaimDecision, Fingerprint, FingerprintParts, StoredAnswer, TicketOutcome, TicketTable,
    TicketTableSettings,
};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::BranchName;
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use bytes::Bytes;

use super::fault::Fault;
use super::message::{ExecutorIndex, TicketId, executor_name, service};

/// Lifetime of a ticket and length of a pause, in µs.
pub const LIFETIME_US: u64 = 10;

const SETTINGS: TicketTableSettings = TicketTableSettings {
    capacity: 3,
    lifetime_us: LIFETIME_US,
    answer_bytes_max: 64,
    answers_bytes_total_max: 128,
};

/// Stage of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    Queued,
    /// The table allowed the dispatch; no byte has been sent yet.
    Allowed,
    Running,
}

/// Request that the executor is processing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job {
    pub ticket: TicketId,
    pub stage: Stage,
    /// Whether a faulty executor treated a used ticket as unused.
    pub treated_as_unused: bool,
}

/// Immediate reply of the executor to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// No outcome yet, or an unknown one.
    Inconclusive,
    /// Answer to the ticket's own request.
    OwnAnswer,
    /// Answer to another request.
    CrossedAnswer,
    NotRun,
}

/// One run of an executor's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Executor {
    pub index: ExecutorIndex,
    pub incarnation: u64,
    pub now_us: u64,
    pub table: TicketTable,
    pub jobs: Vec<Job>,
    /// Serials of used tickets that a faulty executor treats as unused.
    treated_as_unused: BTreeSet<u64>,
}

impl Executor {
    pub fn new(index: ExecutorIndex, incarnation: u64, now_us: u64) -> Self {
        Self {
            index,
            incarnation,
            now_us,
            table: TicketTable::new(executor_name(index), Incarnation(incarnation), SETTINGS),
            jobs: Vec::new(),
            treated_as_unused: BTreeSet::new(),
        }
    }

    pub fn issue(&mut self) -> Option<TicketId> {
        let ticket = self.table.issue(&service(), self.now_us).ok()?;
        Some(TicketId::of(self.index, &ticket))
    }

    /// Claims the ticket of a message, and queues the request on first use.
    pub fn receive(&mut self, ticket: TicketId, fault: Fault) -> Reply {
        if self.treated_as_unused.remove(&ticket.serial) {
            self.enqueue(ticket, true);
            return Reply::Inconclusive;
        }
        let mut presented = ticket.to_ticket();
        if fault == Fault::IgnoreIncarnation {
            presented.incarnation = Incarnation(self.incarnation);
        }
        match self
            .table
            .claim(&presented, &service(), *FINGERPRINT, self.now_us)
        {
            ClaimDecision::Run => {
                self.enqueue(ticket, false);
                Reply::Inconclusive
            }
            ClaimDecision::Join => Reply::Inconclusive,
            ClaimDecision::Replay(stored) if *stored == answer(ticket) => Reply::OwnAnswer,
            ClaimDecision::Replay(_) => Reply::CrossedAnswer,
            ClaimDecision::Refuse(refusal) => reply_to(refusal),
        }
    }

    /// Asks the table for permission right before the first byte.
    pub fn may_dispatch(&mut self, job: Job, fault: Fault) -> bool {
        let allowed = self.table.may_dispatch(job.ticket.serial, self.now_us);
        allowed || job.treated_as_unused || fault == Fault::SkipDispatchCheck
    }

    /// Ends a job as not run.
    pub fn refuse(&mut self, job: Job, reason: RefusalReason, fault: Fault) {
        let refusal = Refusal {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms: None,
        };
        self.finish(job, TicketOutcome::NotRun(refusal));
        if fault == Fault::ForgetNotRun {
            self.treated_as_unused.insert(job.ticket.serial);
        }
    }

    /// Ends a job with the backend server's answer.
    pub fn answer(&mut self, job: Job, fault: Fault) {
        self.finish(job, TicketOutcome::Answered(Arc::new(answer(job.ticket))));
        if fault == Fault::EvictBeforeExpiry {
            self.treated_as_unused.insert(job.ticket.serial);
        }
    }

    /// Ends a job whose connection broke while it was running.
    pub fn lose_connection(&mut self, job: Job) {
        let reason = RefusalReason::ConnectionLost;
        let refusal = Refusal {
            reason,
            run_state: RunState::Unknown,
            retry_after_ms: None,
        };
        self.finish(job, TicketOutcome::Unknown(refusal));
    }

    /// Moves a job to another stage.
    pub fn set_stage(&mut self, job: Job, stage: Stage) {
        self.jobs.retain(|other| *other != job);
        self.jobs.push(Job { stage, ..job });
        self.jobs.sort_unstable();
    }

    fn enqueue(&mut self, ticket: TicketId, treated_as_unused: bool) {
        self.jobs.push(Job {
            ticket,
            stage: Stage::Queued,
            treated_as_unused,
        });
        self.jobs.sort_unstable();
    }

    fn finish(&mut self, job: Job, outcome: TicketOutcome) {
        self.jobs.retain(|other| *other != job);
        self.table.finish(job.ticket.serial, outcome, self.now_us);
    }
}

fn reply_to(refusal: Refusal) -> Reply {
    match refusal.run_state {
        RunState::NotRun => Reply::NotRun,
        RunState::Unknown => Reply::Inconclusive,
    }
}

fn answer(ticket: TicketId) -> StoredAnswer {
    let body = Bytes::from(format!("{ticket:?}"));
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.slice(..body.len().min(64)),
    }
}

/// Fingerprint of the caller's one request.
static FINGERPRINT: LazyLock<Fingerprint> = LazyLock::new(|| {
    Fingerprint::of(FingerprintParts {
        service: &service(),
        branch: &BranchName::new("srisawat").expect("a valid name"),
        method: "POST",
        path: "/gates/4/release",
        key: Some("cow-117"),
        body: b"sorting",
    })
});
