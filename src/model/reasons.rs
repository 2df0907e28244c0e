//! Closed sets of reasons: why a request was refused and why one was tried again.

use serde::{Deserialize, Serialize};

/// What is certain about a request that got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of it reached a backend server, and none ever will.
    NotRun,
    /// It may have run.
    Unknown,
}

macro_rules! reason_set {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$vdoc])* $variant,)+
        }

        impl $name {
            /// Every reason, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The reason as callers, logs and metrics see it.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

reason_set! {
    /// Why a request was refused or given up. One counter each.
    RefusalReason {
        /// The request is malformed.
        BadRequest => "bad-request",
        /// No configuration in force names the service.
        UnknownService => "unknown-service",
        /// The service has no such branch, or the request names none.
        UnknownBranch => "unknown-branch",
        /// No live backend server bears that name.
        UnknownServer => "unknown-server",
        /// The body is longer than the service allows.
        BodyTooLarge => "body-too-large",
        /// The service requires a deadline and the request states none.
        DeadlineMissing => "deadline-missing",
        /// The deadline passed before the request was dispatched.
        DeadlineLapsed => "deadline-lapsed",
        /// The queue is too long for the request to finish by its deadline.
        DeadlineUnreachable => "deadline-unreachable",
        /// The queue has reached its bound.
        QueueFull => "queue-full",
        /// The branch has used its share while others wait.
        BranchOverShare => "branch-over-share",
        /// The backend server is in its cold start and bears no more.
        ColdStart => "cold-start",
        /// The backend server or its node is leaving.
        Leaving => "leaving",
        /// Operators have taken the availability zone out.
        ZoneOut => "zone-out",
        /// Operators have taken the backend server out.
        ServerOut => "server-out",
        /// The backend server has not announced itself, or its lease lapsed.
        ServerAbsent => "server-absent",
        /// The backend server refused the work and said that it was not run.
        ServerShed => "server-shed",
        /// The backend server is slower now than the node that sent the work accepts.
        ServerSlow => "server-slow",
        /// No live backend server of the service can be chosen.
        NoServer => "no-server",
        /// Every backend server that was tried refused.
        HopsExhausted => "hops-exhausted",
        /// The retry budget is spent.
        RetryBudgetSpent => "retry-budget-spent",
        /// The node holds no configuration yet.
        NoConfiguration => "no-configuration",
        /// The node's knowledge is older than its bound.
        KnowledgeStale => "knowledge-stale",
        /// A non-idempotent request with a key needs a ticket first.
        TicketRequired => "ticket-required",
        /// The ticket is malformed, forged or for another service.
        TicketInvalid => "ticket-invalid",
        /// The ticket's lifetime has ended.
        TicketExpired => "ticket-expired",
        /// The ticket was used for a different request.
        TicketReused => "ticket-reused",
        /// The executor that the ticket names is gone.
        TicketExecutorGone => "ticket-executor-gone",
        /// The executor has issued as many tickets as it can remember.
        TicketsExhausted => "tickets-exhausted",
        /// The outcome is known to have run, but its answer is no longer held.
        AnswerNotHeld => "answer-not-held",
        /// The peer node could not be reached.
        PeerUnreachable => "peer-unreachable",
        /// The connection to the peer node or backend server broke after dispatch.
        ConnectionLost => "connection-lost",
        /// The deadline passed while the request was running.
        DeadlinePassedRunning => "deadline-passed-running",
        /// The answer was incomplete or belonged to another request.
        AnswerBroken => "answer-broken",
        /// The caller went away.
        Cancelled => "cancelled",
        /// A peer's message was malformed, foreign or lacked the right token.
        PeerRejected => "peer-rejected",
    }
}

reason_set! {
    /// Why a request was sent to another backend server. One counter each.
    RetryReason {
        /// The gate refused it as not run.
        GateRefused => "gate-refused",
        /// The backend server shed it as not run.
        ServerShed => "server-shed",
        /// The peer node could not be reached; no byte was sent.
        PeerUnreachable => "peer-unreachable",
        /// The connection broke while an idempotent request was running.
        ConnectionLost => "connection-lost",
        /// The answer to an idempotent request was broken.
        AnswerBroken => "answer-broken",
        /// The backend server failed an idempotent request.
        ServerFailed => "server-failed",
    }
}

/// A refusal with what the caller may do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is certain about the run.
    pub run_state: RunState,
    /// When to come back, in ms; none when coming back does not help.
    pub retry_after_ms: Option<u64>,
}
