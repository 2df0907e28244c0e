//! Counters for refusals, retries and other events, sent to statsd.
//!
//! Refusals and retries are counted by reason. Requests only increment atomics; a plug-in
//! periodically sends the increments since the last flush.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};

use crate::model::reasons::{RefusalReason, RetryReason};

macro_rules! event_set {
    ($($(#[$doc:meta])* $variant:ident => $text:literal,)+) => {
        /// Counted events other than refusals and retries.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $variant,)+
        }

        impl Event {
            /// Every event.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Name of the event's counter.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

event_set! {
    /// A request from a caller was received.
    CallerRequest => "caller.request",
    /// A caller's request was answered completely.
    CallerAnswer => "caller.answer",
    /// A caller's connection failed, was too slow or exceeded the connection limit.
    CallerBroken => "caller.broken",
    /// A request was forwarded to a peer node.
    PeerForwarded => "peer.forwarded",
    /// A request from a peer node was received.
    PeerRequest => "peer.request",
    /// A peer's connection was refused because of its token or wire version.
    PeerRejected => "peer.rejected",
    /// A request was dispatched to the backend server.
    ServerDispatched => "server.dispatched",
    /// A connection to the backend server was closed because its request did not finish.
    ServerConnectionDropped => "server.connection-dropped",
    /// An answer was dropped: late, incomplete or for another request.
    AnswerDropped => "answer.dropped",
    /// A stored answer was returned for a repeated request.
    TicketReplayed => "ticket.replayed",
    /// A repeated request waited for the run already in progress.
    TicketJoined => "ticket.joined",
    /// A ticket was issued.
    TicketIssued => "ticket.issued",
    /// A health or load probe was sent.
    ProbeSent => "probe.sent",
    /// A health or load probe was skipped because of recent traffic or the probe budget.
    ProbeSkipped => "probe.skipped",
    /// A gossip datagram was sent.
    GossipSent => "gossip.sent",
    /// A gossip datagram was refused: foreign, outdated or forged.
    GossipRejected => "gossip.rejected",
    /// Bytes of gossip datagrams sent.
    GossipBytes => "gossip.bytes",
    /// A gossip datagram was received and accepted.
    GossipReceived => "gossip.received",
    /// Bytes of gossip datagrams received and accepted.
    GossipBytesReceived => "gossip.bytes-received",
    /// A page of configuration records was sent on to a peer.
    PagePassedOn => "config.page-passed-on",
    /// The log could not be read or appended to.
    LogFailed => "log.failed",
    /// A configuration version took effect.
    ConfigInForce => "config.in-force",
}

#[derive(Debug, Default)]
struct Counter {
    total: AtomicU64,
    flushed: AtomicU64,
}

impl Counter {
    fn add(&self, count: u64) {
        self.total.fetch_add(count, Ordering::Relaxed);
    }

    fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    fn take_unflushed(&self) -> u64 {
        let total = self.total();
        total - self.flushed.swap(total, Ordering::Relaxed)
    }
}

fn new_counters(count: usize) -> Box<[Counter]> {
    (0..count).map(|_| Counter::default()).collect()
}

/// Name and total of one counter.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CounterTotal {
    /// Name, such as `refused.queue-full`.
    pub name: String,
    /// Total since the process started.
    pub total: u64,
}

/// All counters of a node.
#[derive(Debug)]
pub struct Metrics {
    statsd: StatsdClient,
    refusals: Box<[Counter]>,
    retries: Box<[Counter]>,
    events: Box<[Counter]>,
}

impl Metrics {
    /// Creates counters at zero that are flushed to `statsd`.
    pub fn new(statsd: StatsdClient) -> Self {
        Self {
            statsd,
            refusals: new_counters(RefusalReason::ALL.len()),
            retries: new_counters(RetryReason::ALL.len()),
            events: new_counters(Event::ALL.len()),
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals[reason as usize].add(1);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries[reason as usize].add(1);
    }

    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.events[event as usize].add(1);
    }

    /// Adds `count` to the counter of an event.
    pub fn add(&self, event: Event, count: u64) {
        self.events[event as usize].add(count);
    }

    /// Names and totals of all counters, in a fixed order.
    pub fn totals(&self) -> Vec<CounterTotal> {
        self.named_counters()
            .map(|(name, counter)| CounterTotal {
                name,
                total: counter.total(),
            })
            .collect()
    }

    /// Refusals since the start by reason, without reasons that never occurred.
    pub fn refusals(&self) -> BTreeMap<RefusalReason, u64> {
        let counted = RefusalReason::ALL.iter().zip(&self.refusals);
        let totals = counted.map(|(reason, counter)| (*reason, counter.total()));
        totals.filter(|(_reason, total)| *total > 0).collect()
    }

    /// Sends the increments since the last flush.
    pub fn flush(&self) {
        for (name, counter) in self.named_counters() {
            let count = counter.take_unflushed();
            if count > 0 {
                self.statsd.count_with_tags(&name, count).send();
            }
        }
    }

    /// Sends one gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.statsd.gauge_with_tags(name, value).send();
    }

    fn named_counters(&self) -> impl Iterator<Item = (String, &Counter)> {
        let refusals = RefusalReason::ALL
            .iter()
            .map(|reason| format!("refused.{}", reason.as_str()));
        let retries = RetryReason::ALL
            .iter()
            .map(|reason| format!("retried.{}", reason.as_str()));
        let events = Event::ALL.iter().map(|event| event.as_str().to_owned());
        let counters = self
            .refusals
            .iter()
            .chain(&self.retries)
            .chain(&self.events);
        refusals.chain(retries).chain(events).zip(counters)
    }
}
