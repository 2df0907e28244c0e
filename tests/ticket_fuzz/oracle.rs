//! What must hold, in a few lines.

use std::collections::HashSet;

use super::message::Work;

/// What really happened.
#[derive(Debug, Default)]
pub struct Oracle {
    work_done: HashSet<Work>,
    tickets_run: HashSet<String>,
    tickets_reported_not_run: HashSet<String>,
}

impl Oracle {
    /// The first byte of a request reached a backend server.
    pub fn record_run(&mut self, work: Work, ticket: &str) {
        assert!(self.work_done.insert(work), "{work:?} runs twice");
        assert!(
            !self.tickets_reported_not_run.contains(ticket),
            "{work:?} runs after \"not run\""
        );
        self.tickets_run.insert(ticket.to_owned());
    }

    /// A caller was told that a ticket's request was not run.
    pub fn record_not_run(&mut self, ticket: &str) {
        assert!(
            !self.tickets_run.contains(ticket),
            "\"not run\" after a run"
        );
        self.tickets_reported_not_run.insert(ticket.to_owned());
    }

    /// A caller got an answer to its work.
    pub fn check_answer(&self, work: Work, body: &[u8]) {
        assert!(
            self.work_done.contains(&work),
            "{work:?} is answered and did not run"
        );
        assert!(
            body.starts_with(&work.0.to_le_bytes()),
            "{work:?} got another's answer"
        );
    }
}
