//! Reasons for refusing a request and for retrying one.

use serde::{Deserialize, Serialize};

/// What is known about the run of a request that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request reached a backend server, and none ever will.
    NotRun,
    /// The request may have run.
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
            /// All reasons, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name of the reason, as used in responses, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

reason_set! {
    /// Why a request was refused or abandoned. Each reason has its own counter.
    ///
    /// Nodes of different releases exchange reasons by their index, so new ones come last.
    RefusalReason {
        /// The request is malformed.
        BadRequest => "bad-request",
        /// The active configuration does not contain the service.
        UnknownService => "unknown-service",
        /// The service has no such branch, or the request names none.
        UnknownBranch => "unknown-branch",
        /// No live backend server has that name.
        UnknownServer => "unknown-server",
        /// The body is longer than the service allows.
        BodyTooLarge => "body-too-large",
        /// The service requires a deadline and the request states none.
        DeadlineMissing => "deadline-missing",
        /// The deadline passed before the request was sent to a backend server.
        DeadlineLapsed => "deadline-lapsed",
        /// The queue is too long for the request to finish by its deadline.
        DeadlineUnreachable => "deadline-unreachable",
        /// The queue has reached its maximum length.
        QueueFull => "queue-full",
        /// The branch has used its share while other branches wait.
        BranchOverShare => "branch-over-share",
        /// The backend server is in its cold start and can handle no more.
        ColdStart => "cold-start",
        /// The backend server or its node is shutting down.
        Leaving => "leaving",
        /// Operators have taken the availability zone out of service.
        ZoneOut => "zone-out",
        /// Operators have taken the backend server out of service.
        ServerOut => "server-out",
        /// The backend server has not announced itself, or its lease has expired.
        ServerAbsent => "server-absent",
        /// The backend server shed the request and stated that it was not run.
        ServerShed => "server-shed",
        /// The backend server is currently slower than the sending node accepts.
        ServerSlow => "server-slow",
        /// No live backend server of the service is available.
        NoServer => "no-server",
        /// All backend servers that were tried refused the request.
        HopsExhausted => "hops-exhausted",
        /// The retry budget is exhausted.
        RetryBudgetSpent => "retry-budget-spent",
        /// The node has no configuration yet.
        NoConfiguration => "no-configuration",
        /// The node's knowledge is older than the allowed maximum.
        KnowledgeStale => "knowledge-stale",
        /// A non-idempotent request with an idempotency key needs a ticket.
        TicketRequired => "ticket-required",
        /// The ticket is malformed, forged or for another service.
        TicketInvalid => "ticket-invalid",
        /// The ticket has expired.
        TicketExpired => "ticket-expired",
        /// The ticket was already used for a different request.
        TicketReused => "ticket-reused",
        /// The executor named in the ticket no longer exists.
        TicketExecutorGone => "ticket-executor-gone",
        /// The executor has issued as many tickets as it can store.
        TicketsExhausted => "tickets-exhausted",
        /// The request is known to have run, but its answer is no longer stored.
        AnswerNotHeld => "answer-not-held",
        /// The peer node could not be reached.
        PeerUnreachable => "peer-unreachable",
        /// The connection to the peer node or backend server broke after sending.
        ConnectionLost => "connection-lost",
        /// The deadline passed while the request was running.
        DeadlinePassedRunning => "deadline-passed-running",
        /// The answer was incomplete or belonged to another request.
        AnswerBroken => "answer-broken",
        /// The caller disconnected.
        Cancelled => "cancelled",
        /// A peer's message was malformed, of another system or lacked the right token.
        PeerRejected => "peer-rejected",
        /// The backend server is of another service than the sending node expects.
        OtherService => "other-service",
        /// Backend servers ended whenever they ran the request; it is in quarantine.
        PoisonRequest => "poison-request",
        /// The version of the backend server gets no requests in a roll-out.
        VersionOut => "version-out",
        /// The branch has used its quota over all hosts.
        QuotaExceeded => "quota-exceeded",
        /// The node that took the request ends before the answer has arrived.
        NodeEnded => "node-ended",
        /// No memory is left for the request.
        NoMemory => "no-memory",
    }
}

reason_set! {
    /// Why a request was retried. Each reason has its own counter.
    RetryReason {
        /// The gate refused the request; it was not run.
        GateRefused => "gate-refused",
        /// The backend server shed the request; it was not run.
        ServerShed => "server-shed",
        /// The peer node could not be reached; no byte was sent.
        PeerUnreachable => "peer-unreachable",
        /// The connection broke while an idempotent request was running.
        ConnectionLost => "connection-lost",
        /// The answer to an idempotent request was broken.
        AnswerBroken => "answer-broken",
        /// The backend server answered an idempotent request with a server error.
        ServerFailed => "server-failed",
    }
}

/// A refusal, with what is known about the run and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// What is known about the run.
    pub run_state: RunState,
    /// Time after which to retry, in ms; none if a retry does not help.
    pub retry_after_ms: Option<u64>,
}
