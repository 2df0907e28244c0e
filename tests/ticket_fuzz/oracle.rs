//! Test oracle: checks at-most-once execution against what really happened.

use std::collections::HashSet;

use super::message::Work;

/// Record of runs and of "not run" reports.
#[derive(Debug, Default)]
pub struct Oracle {
    work_done: HashSet<Work>,
    tickets_run: HashSet<String>,
    tickets_reported_not_run: HashSet<String>,
}

impl Oracle {
    /// Records that the first byte of a request reached a backend server.
    pub fn record_run(&mut self, work: Work, ticket: &str) {
        assert!(self.work_done.insert(work), "{work:?} ran twice");
        assert!(
            !self.tickets_reported_not_run.contains(ticket),
            "{work:?} ran after it was reported as not run"
        );
        self.tickets_run.insert(ticket.to_owned());
    }

    /// Records a report to a caller that a ticket's request was not run.
    pub fn record_not_run(&mut self, ticket: &str) {
        assert!(
            !self.tickets_run.contains(ticket),
            "ticket reported as not run after its request ran"
        );
        self.tickets_reported_not_run.insert(ticket.to_owned());
    }

    /// Checks an answer that a caller received for its work.
    pub fn check_answer(&self, work: Work, body: &[u8]) {
        assert!(
            self.work_done.contains(&work),
            "{work:?} was answered but did not run"
        );
        assert!(
            body.starts_with(&work.0.to_le_bytes()),
            "{work:?} got the answer to other work"
        );
    }
}
