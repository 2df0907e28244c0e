//! One executor: the real ticket table, a queue and a backend server.

use std::sync::Arc;

use bronzelock::decision::ticket::{
    ClaimDecision, Fingerprint, FingerprintParts, StoredAnswer, Ticket, TicketKey, TicketOutcome,
    TicketTable, TicketTableSettings,
};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{BranchName, ServerName, ServiceName};
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use bytes::Bytes;

use super::message::{ReplyContent, Request, Work};
use super::oracle::Oracle;
use crate::fuzzing::seen;

const SETTINGS: TicketTableSettings = TicketTableSettings {
    capacity: 4,
    lifetime_us: 1_000,
    answer_bytes_max: 64,
    answers_bytes_total_max: 100,
};

/// What an executor does next with a request.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Refuse,
    TryDispatch,
    SendFirstByte,
    Shed,
    Answer { padding_bytes: usize },
    LoseConnection,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Allowed,
    Running,
}

#[derive(Debug)]
struct Job {
    serial: u64,
    request: Request,
    stage: Stage,
    /// Messages that wait for the outcome, including the first.
    waiting: Vec<Request>,
}

/// Reply to the sender of one request.
#[derive(Debug)]
pub struct Response {
    pub request: Request,
    pub content: ReplyContent,
}

/// One run of an executor's process.
#[derive(Debug)]
pub struct Executor {
    name: ServerName,
    incarnation: u64,
    now_us: u64,
    table: TicketTable,
    jobs: Vec<Job>,
}

pub fn executor_name(index: usize) -> ServerName {
    ServerName::new(&format!("camlog-{index}")).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("camlog").unwrap()
}

impl Executor {
    pub fn new(index: usize) -> Self {
        Self::start(executor_name(index), 0, 0)
    }

    fn start(name: ServerName, incarnation: u64, now_us: u64) -> Self {
        let table = TicketTable::new(name.clone(), Incarnation(incarnation), SETTINGS);
        Self {
            name,
            incarnation,
            now_us,
            table,
            jobs: Vec::new(),
        }
    }

    /// Loses all memory and restarts as a new incarnation.
    pub fn crash(&mut self) {
        *self = Self::start(self.name.clone(), self.incarnation + 1, self.now_us);
    }

    pub fn advance(&mut self, time_us: u64) {
        self.now_us += time_us;
    }

    pub fn expire(&mut self) {
        self.table.expire(self.now_us);
    }

    pub fn issue(&mut self, key: &TicketKey) -> ReplyContent {
        match self.table.issue(&service(), self.now_us) {
            Ok(ticket) => ReplyContent::Ticket(ticket.encode(key)),
            Err(refusal) => {
                seen::note(refusal.reason.as_str());
                ReplyContent::Unknown
            }
        }
    }

    /// Claims the ticket of a message; returns `None` when the sender has to wait.
    pub fn receive(&mut self, request: Request, ticket: &Ticket) -> Option<Response> {
        let fingerprint = fingerprint(request.work);
        let claim = self
            .table
            .claim(ticket, &service(), fingerprint, self.now_us);
        match claim {
            ClaimDecision::Run => {
                self.jobs.push(Job {
                    serial: ticket.serial,
                    request: request.clone(),
                    stage: Stage::Queued,
                    waiting: vec![request],
                });
                None
            }
            ClaimDecision::Join => {
                seen::note("join");
                let mut jobs = self.jobs.iter_mut();
                let job = jobs.find(|job| job.serial == ticket.serial);
                job.expect("a joined request has a job")
                    .waiting
                    .push(request);
                None
            }
            ClaimDecision::Replay(answer) => {
                seen::note("replay");
                let content = ReplyContent::Answer(answer.body.clone());
                Some(Response { request, content })
            }
            ClaimDecision::Refuse(refusal) => {
                seen::note(refusal.reason.as_str());
                let content = reply_content(refusal);
                Some(Response { request, content })
            }
        }
    }

    /// Carries out an action on one job, if the action fits its stage.
    pub fn advance_job(
        &mut self,
        pick: usize,
        action: Action,
        oracle: &mut Oracle,
    ) -> Vec<Response> {
        if self.jobs.is_empty() {
            return Vec::new();
        }
        let index = pick % self.jobs.len();
        match (self.jobs[index].stage, action) {
            (Stage::Queued, Action::Refuse) => self.not_run(index, RefusalReason::DeadlineLapsed),
            (Stage::Queued, Action::TryDispatch) => self.try_dispatch(index),
            (Stage::Allowed, Action::SendFirstByte) => {
                let job = &mut self.jobs[index];
                job.stage = Stage::Running;
                oracle.record_run(job.request.work, &job.request.ticket);
                seen::note("run");
                Vec::new()
            }
            (Stage::Allowed, Action::Shed) => self.not_run(index, RefusalReason::ServerShed),
            (Stage::Running, Action::Answer { padding_bytes }) => self.answer(index, padding_bytes),
            (Stage::Running, Action::LoseConnection) => self.lose_connection(index),
            _ => Vec::new(),
        }
    }

    fn try_dispatch(&mut self, index: usize) -> Vec<Response> {
        let serial = self.jobs[index].serial;
        if self.table.may_dispatch(serial, self.now_us) {
            self.jobs[index].stage = Stage::Allowed;
            return Vec::new();
        }
        seen::note("late dispatch refused");
        self.not_run(index, RefusalReason::TicketExpired)
    }

    fn not_run(&mut self, index: usize, reason: RefusalReason) -> Vec<Response> {
        let refusal = refusal(reason, RunState::NotRun);
        self.end(index, TicketOutcome::NotRun(refusal), &ReplyContent::NotRun)
    }

    fn lose_connection(&mut self, index: usize) -> Vec<Response> {
        let refusal = refusal(RefusalReason::ConnectionLost, RunState::Unknown);
        self.end(
            index,
            TicketOutcome::Unknown(refusal),
            &ReplyContent::Unknown,
        )
    }

    fn answer(&mut self, index: usize, padding_bytes: usize) -> Vec<Response> {
        let mut body = self.jobs[index].request.work.0.to_le_bytes().to_vec();
        body.resize(body.len() + padding_bytes, 0);
        let body = Bytes::from(body);
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: body.clone(),
        };
        let outcome = TicketOutcome::Answered(Arc::new(answer));
        self.end(index, outcome, &ReplyContent::Answer(body))
    }

    /// Records a job's outcome and replies to every message that waits for it.
    fn end(
        &mut self,
        index: usize,
        outcome: TicketOutcome,
        content: &ReplyContent,
    ) -> Vec<Response> {
        let job = self.jobs.swap_remove(index);
        self.table.finish(job.serial, outcome, self.now_us);
        let reply_to = |request| Response {
            request,
            content: content.clone(),
        };
        job.waiting.into_iter().map(reply_to).collect()
    }

    /// Checks that the table stays within its limits.
    pub fn check_bounds(&self) {
        let counts = self.table.counts();
        assert!(counts.unused + counts.in_progress + counts.ended <= SETTINGS.capacity);
        assert!(counts.answer_bytes <= SETTINGS.answers_bytes_total_max);
        assert_eq!(counts.in_progress, self.jobs.len());
    }
}

fn refusal(reason: RefusalReason, run_state: RunState) -> Refusal {
    Refusal {
        reason,
        run_state,
        retry_after_ms: None,
    }
}

pub fn reply_content(refusal: Refusal) -> ReplyContent {
    match refusal.run_state {
        RunState::NotRun => ReplyContent::NotRun,
        RunState::Unknown => ReplyContent::Unknown,
    }
}

fn fingerprint(work: Work) -> Fingerprint {
    Fingerprint::of(FingerprintParts {
        service: &service(),
        branch: &BranchName::new("asante").unwrap(),
        method: "POST",
        path: "/work-orders",
        key: None,
        body: &work.0.to_le_bytes(),
    })
}
