//! Request rate that a backend server in need names in its answers, from all hosts together.

use crate::model::host_request::LimitStatement;
use crate::model::units::US_PER_S;

/// Time since the last answer that named a limit before which it does not end, in µs.
const LIMIT_RETENTION_US: u64 = US_PER_S;

/// Answers in a row without a limit after which it has ended.
///
/// One alone may have been prepared before the backend server named the limit.
const UNSTATED_ANSWERS_MIN: u32 = 2;

/// Effect of an answer on the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit stays as it is.
    Unchanged,
    /// A limit was named, or another one than before, in requests per second.
    Named(f64),
    /// There is no limit any more.
    Ended,
}

/// Limit of one backend server process.
#[derive(Debug, Default)]
pub struct ServerLimit {
    named: Option<NamedLimit>,
}

#[derive(Debug)]
struct NamedLimit {
    per_s: f64,
    last_named_us: u64,
    unstated_answers: u32,
}

impl ServerLimit {
    /// The limit in force, in requests per second.
    pub fn per_s(&self) -> Option<f64> {
        self.named.as_ref().map(|named| named.per_s)
    }

    /// Applies what an answer says of the limit.
    ///
    /// Only `answers_request`, an answer to a request rather than to a health check, shows by saying
    /// nothing that the limit has ended.
    pub fn observe(
        &mut self,
        statement: &LimitStatement,
        answers_request: bool,
        now_us: u64,
    ) -> LimitChange {
        match statement {
            LimitStatement::PerSecond(per_s) => self.observe_named(*per_s, now_us),
            LimitStatement::Unstated if answers_request => self.observe_unstated(now_us),
            LimitStatement::Unstated | LimitStatement::Unreadable(_) => LimitChange::Unchanged,
        }
    }

    fn observe_named(&mut self, per_s: f64, now_us: u64) -> LimitChange {
        let before = self.per_s();
        self.named = Some(NamedLimit {
            per_s,
            last_named_us: now_us,
            unstated_answers: 0,
        });
        if before == Some(per_s) {
            LimitChange::Unchanged
        } else {
            LimitChange::Named(per_s)
        }
    }

    fn observe_unstated(&mut self, now_us: u64) -> LimitChange {
        let Some(named) = &mut self.named else {
            return LimitChange::Unchanged;
        };
        named.unstated_answers += 1;
        let retained = now_us.saturating_sub(named.last_named_us) < LIMIT_RETENTION_US;
        if retained || named.unstated_answers < UNSTATED_ANSWERS_MIN {
            return LimitChange::Unchanged;
        }
        self.named = None;
        LimitChange::Ended
    }

    /// Forgets the limit: another process serves now.
    pub fn reset(&mut self) {
        self.named = None;
    }
}
