//! What a gate knows of the process at its backend server's address, and which service it is of.
//!
//! Only an announcement states the service. Before the first one the service is that of the
//! settings, for the first process that answers a health check: an address may pass to a backend
//! server of another service after the settings were written.
//!
//! A node that was restarted does not know what the run before it acknowledged: a process may have
//! announced that it is leaving, and an earlier announcement of it may arrive late. So an announced
//! process that is older than the node gets no requests before it is confirmed: it answers a health
//! check as healthy, or goes on announcing itself as ready for [`LATE_MAX_US`].

use std::sync::Arc;

use super::announcement::{Announcement, Departure, Freshness};
use super::leaves::Start;
use super::rival_start::RivalStart;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_S;

/// Time in which all announcements that were sent before a leave have arrived, in µs.
pub const LATE_MAX_US: u64 = 10 * US_PER_S;

/// How a start of a backend server relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOrder {
    /// It is the known one.
    Same,
    /// It is of the same backend server and states an earlier time.
    Earlier,
    /// It is of the same backend server and states a later time.
    Later,
    /// It is of another backend server, or was replaced by the known one.
    Unrelated,
}

/// An announced process, and what shows that it has not left.
#[derive(Debug)]
struct Announced {
    last: Announcement,
    /// When its first announcement was applied, in µs.
    since_us: u64,
    is_confirmed: bool,
}

/// The process that answered last.
#[derive(Debug)]
struct Answering {
    instance: Arc<str>,
    /// Whether an answer of it said that it is healthy.
    healthy_seen: bool,
    /// Time of its last answer, in µs.
    at_us: u64,
}

/// The process at the address.
#[derive(Debug)]
enum Process {
    /// Nothing has answered or announced itself.
    Unknown,
    /// It answered health checks and has not announced itself.
    Answered {
        instance: Arc<str>,
        healthy_seen: bool,
    },
    /// Its service is unknown until it announces itself.
    OfUnknownService,
    /// It announced itself.
    Announced(Announced),
}

/// The known backend server of a host.
#[derive(Debug)]
pub struct KnownServer {
    /// Service of the settings, or of the last announcement applied.
    service: ServiceName,
    service_changes: u16,
    process: Process,
    /// What answered last, since the last new start was applied.
    answering: Option<Answering>,
    /// Start time from which on all acknowledgements to a process are known here, in Unix ms.
    known_from_ms: u64,
    /// The start that was replaced by one that states an earlier time.
    replaced_by_earlier_start: Option<Start>,
    /// Another start under the same identifier that seems to be stale.
    rival: Option<RivalStart>,
}

impl KnownServer {
    /// Starts with an unknown process; `service` is that of the settings.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            service_changes: 0,
            process: Process::Unknown,
            answering: None,
            known_from_ms: 0,
            replaced_by_earlier_start: None,
            rival: None,
        }
    }

    /// Records that the node was restarted at a time in Unix ms.
    ///
    /// An earlier run of it may have acknowledged the leave of a process that started before.
    pub fn set_restarted(&mut self, at_ms: u64) {
        self.known_from_ms = at_ms;
    }

    /// Service that the host serves.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Number of changes of the service since the start of the node.
    pub fn service_changes(&self) -> u16 {
        self.service_changes
    }

    /// Last announcement applied.
    pub fn announcement(&self) -> Option<&Announcement> {
        match &self.process {
            Process::Announced(announced) => Some(&announced.last),
            Process::Unknown | Process::Answered { .. } | Process::OfUnknownService => None,
        }
    }

    /// Instance that requests are meant for; `None` while there is none that may get any.
    pub fn target(&self) -> Option<&Arc<str>> {
        match &self.process {
            Process::Answered {
                instance,
                healthy_seen: true,
            } => Some(instance),
            Process::Announced(announced) if announced.is_confirmed => {
                Some(&announced.last.instance)
            }
            Process::Unknown
            | Process::Answered { .. }
            | Process::OfUnknownService
            | Process::Announced(_) => None,
        }
    }

    /// Whether no process has answered or announced itself.
    pub fn is_unknown(&self) -> bool {
        matches!(self.process, Process::Unknown)
    }

    /// Whether an instance is the known process.
    pub fn is_known(&self, instance: &str) -> bool {
        match &self.process {
            Process::Answered {
                instance: known, ..
            } => **known == *instance,
            Process::Announced(known) => *known.last.instance == *instance,
            Process::Unknown | Process::OfUnknownService => false,
        }
    }

    /// Whether an instance has answered but not announced itself.
    pub fn is_unannounced(&self, instance: &str) -> bool {
        self.announcement().is_none() && self.is_known(instance)
    }

    /// Checks that the host serves a service.
    ///
    /// # Errors
    /// The reason of a refusal if it does not.
    pub fn check_service(&self, service: &ServiceName) -> Result<(), RefusalReason> {
        if self.service == *service {
            Ok(())
        } else {
            Err(RefusalReason::OtherService)
        }
    }

    /// Records that a process answered; returns whether it is the known one.
    pub fn observe_answer(&mut self, instance: &str, healthy: bool, now_us: u64) -> bool {
        match &mut self.answering {
            Some(answering) if *answering.instance == *instance => {
                answering.healthy_seen |= healthy;
                answering.at_us = now_us;
            }
            _ => {
                self.answering = Some(Answering {
                    instance: instance.into(),
                    healthy_seen: healthy,
                    at_us: now_us,
                });
            }
        }
        match &mut self.process {
            Process::Unknown => {
                self.process = Process::Answered {
                    instance: instance.into(),
                    healthy_seen: healthy,
                };
                true
            }
            Process::Answered {
                instance: known,
                healthy_seen,
            } if **known == *instance => {
                *healthy_seen |= healthy;
                true
            }
            Process::Answered { .. } => {
                self.process = Process::OfUnknownService;
                false
            }
            Process::OfUnknownService => false,
            Process::Announced(known) => {
                let is_known = *known.last.instance == *instance;
                known.is_confirmed |= is_known && healthy;
                is_known
            }
        }
    }

    /// Records that a health check got no answer.
    ///
    /// The address may be dark, and pass to a process of another service than the settings say.
    pub fn observe_no_answer(&mut self) {
        if self.is_unknown() {
            self.process = Process::OfUnknownService;
        }
    }

    /// Records that no process listens at the address.
    ///
    /// The next one that does may be of another service than the settings say.
    pub fn observe_no_listener(&mut self) {
        match self.process {
            Process::Unknown | Process::Answered { .. } => self.process = Process::OfUnknownService,
            Process::OfUnknownService | Process::Announced(_) => {}
        }
    }

    /// Compares an announcement with what is known.
    ///
    /// Start times come from clocks that differ, so the process that answers at the address counts
    /// as the later one of two instances.
    pub fn freshness(&self, announcement: &Announcement) -> Freshness {
        let by_time = announcement.freshness(self.announcement());
        let answering = self.answering.as_ref();
        let answers =
            answering.is_some_and(|answering| answering.instance == announcement.instance);
        match by_time {
            Freshness::Stale if answers && !self.is_announced(&announcement.instance) => {
                Freshness::NewStart
            }
            // An answer names no start, so it tells nothing of two starts of one instance.
            Freshness::NewStart
                if (!answers || self.is_announced(&announcement.instance))
                    && self.was_replaced_by_earlier_start(&Start::from(announcement)) =>
            {
                Freshness::Stale
            }
            Freshness::NewStart | Freshness::Newer | Freshness::Stale => by_time,
        }
    }

    /// Whether an announcement of a new start is not of the process that is at the address.
    ///
    /// That is so if another process has answered since `asked_us`: the sender has ended.
    pub fn is_of_ended_process(&self, announcement: &Announcement, asked_us: u64) -> bool {
        let answering = self.answering.as_ref();
        let another_answers = answering.is_some_and(|answering| {
            answering.at_us >= asked_us && answering.instance != announcement.instance
        });
        another_answers && self.freshness(announcement) == Freshness::NewStart
    }

    /// Whether a process that announces itself for the first time here needs no further sign.
    fn is_confirmed_at_first(&self, announcement: &Announcement) -> bool {
        let answering = self.answering.as_ref();
        let is_healthy = answering.is_some_and(|answering| {
            answering.instance == announcement.instance && answering.healthy_seen
        });
        is_healthy || self.known_from_ms == 0 || announcement.start_time_ms > self.known_from_ms
    }

    /// Applies an announcement and returns how it relates to what was known.
    pub fn apply(&mut self, announcement: Announcement, now_us: u64) -> Freshness {
        let by_times = self.freshness(&announcement);
        let is_rival =
            by_times == Freshness::Stale && self.is_replaced_by_rival(&announcement, now_us);
        let freshness = if is_rival {
            Freshness::NewStart
        } else {
            by_times
        };
        let (since_us, is_confirmed) = match (freshness, &self.process) {
            (Freshness::Newer, Process::Announced(known)) => {
                let is_continued = now_us.saturating_sub(known.since_us) >= LATE_MAX_US;
                (known.since_us, known.is_confirmed || is_continued)
            }
            // The known start may have left, and this one be late all the same.
            _ if is_rival => (now_us, false),
            _ => (now_us, self.is_confirmed_at_first(&announcement)),
        };
        match freshness {
            Freshness::Stale => return freshness,
            Freshness::Newer => {}
            Freshness::NewStart => {
                let replaced = self
                    .announcement()
                    .filter(|known| known.start_time_ms > announcement.start_time_ms)
                    .map(Start::from);
                let earlier = self.replaced_by_earlier_start.take();
                self.replaced_by_earlier_start =
                    replaced.or(earlier.filter(|start| *start != Start::from(&announcement)));
                // What answered before may have been another process.
                self.answering = None;
            }
        }
        self.rival = None;
        if self.service != announcement.service {
            self.service = announcement.service.clone();
            self.service_changes = self.service_changes.saturating_add(1);
        }
        self.process = Process::Announced(Announced {
            last: announcement,
            since_us,
            is_confirmed,
        });
        freshness
    }

    /// Whether a start that seemed to be stale has taken the place of the known one.
    fn is_replaced_by_rival(&mut self, announcement: &Announcement, now_us: u64) -> bool {
        let start = Start::from(announcement);
        if matches!(self.order_of(&start), StartOrder::Same) || !self.is_announced(&start.instance)
        {
            return false;
        }
        match &mut self.rival {
            Some(rival) if rival.is(&start) => rival.observe(announcement, now_us),
            _ => {
                self.rival = Some(RivalStart::new(announcement, now_us));
                false
            }
        }
    }

    /// How a start relates to the known one.
    pub fn order_of(&self, start: &Start) -> StartOrder {
        let Some(known) = self
            .announcement()
            .filter(|it| it.instance == start.instance)
        else {
            return StartOrder::Unrelated;
        };
        if start.time_ms == known.start_time_ms {
            StartOrder::Same
        } else if self.was_replaced_by_earlier_start(start) {
            StartOrder::Unrelated
        } else if start.time_ms > known.start_time_ms {
            StartOrder::Later
        } else {
            StartOrder::Earlier
        }
    }

    /// Returns the announcement that a departure amounts to; `None` if it has no effect.
    pub fn departure(&self, departure: Departure) -> Option<Announcement> {
        match &self.process {
            Process::Answered { instance, .. } if *instance != departure.instance => None,
            Process::Unknown
            | Process::Answered { .. }
            | Process::OfUnknownService
            | Process::Announced(_) => departure.announcement(self.announcement(), &self.service),
        }
    }

    fn is_announced(&self, instance: &Arc<str>) -> bool {
        let known = self.announcement();
        known.is_some_and(|known| known.instance == *instance)
    }

    fn was_replaced_by_earlier_start(&self, start: &Start) -> bool {
        self.replaced_by_earlier_start.as_ref() == Some(start)
    }
}
