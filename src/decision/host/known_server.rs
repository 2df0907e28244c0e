//! What a gate knows of the process at its backend server's address, and which service it is of.
//!
//! Only an announcement states the service. Before the first one the service is that of the
//! settings, for the first process that answers a health check: an address may pass to a backend
//! server of another service after the settings were written.

use std::sync::Arc;

use super::announcement::{Announcement, Departure, Freshness};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;

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
    Announced(Announcement),
}

/// The known backend server of a host.
#[derive(Debug)]
pub struct KnownServer {
    /// Service of the settings, or of the last announcement applied.
    service: ServiceName,
    service_changes: u16,
    process: Process,
    /// Instance that answered last, since the last new start was applied.
    answering: Option<Arc<str>>,
    /// Instance and start time of the announcement that was replaced by one of an earlier time.
    replaced_by_earlier_start: Option<(Arc<str>, u64)>,
}

impl KnownServer {
    /// Starts with an unknown process; `service` is that of the settings.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            service_changes: 0,
            process: Process::Unknown,
            answering: None,
            replaced_by_earlier_start: None,
        }
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
            Process::Announced(announcement) => Some(announcement),
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
            Process::Announced(announcement) => Some(&announcement.instance),
            Process::Unknown | Process::Answered { .. } | Process::OfUnknownService => None,
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
            Process::Announced(known) => *known.instance == *instance,
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
    pub fn observe_answer(&mut self, instance: &str, healthy: bool) -> bool {
        if self.answering.as_deref() != Some(instance) {
            self.answering = Some(instance.into());
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
            Process::Announced(known) => *known.instance == *instance,
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
        let answers = self.answering.as_ref() == Some(&announcement.instance);
        match by_time {
            Freshness::Stale if answers && !self.is_announced(&announcement.instance) => {
                Freshness::NewStart
            }
            Freshness::NewStart if !answers && self.was_replaced_by_earlier_start(announcement) => {
                Freshness::Stale
            }
            Freshness::NewStart | Freshness::Newer | Freshness::Stale => by_time,
        }
    }

    /// Applies an announcement and returns how it relates to what was known.
    pub fn apply(&mut self, announcement: Announcement) -> Freshness {
        let freshness = self.freshness(&announcement);
        match freshness {
            Freshness::Stale => return freshness,
            Freshness::Newer => {}
            Freshness::NewStart => {
                let replaced_by_earlier_start = self
                    .announcement()
                    .filter(|known| known.start_time_ms > announcement.start_time_ms)
                    .map(|known| (Arc::clone(&known.instance), known.start_time_ms));
                self.replaced_by_earlier_start =
                    replaced_by_earlier_start.or(self.replaced_by_earlier_start.take());
                // What answered before may have been another process.
                self.answering = None;
            }
        }
        if self.service != announcement.service {
            self.service = announcement.service.clone();
            self.service_changes = self.service_changes.saturating_add(1);
        }
        self.process = Process::Announced(announcement);
        freshness
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

    fn was_replaced_by_earlier_start(&self, announcement: &Announcement) -> bool {
        let replaced_by_earlier_start = self.replaced_by_earlier_start.as_ref();
        replaced_by_earlier_start.is_some_and(|(instance, start_time_ms)| {
            *instance == announcement.instance && *start_time_ms == announcement.start_time_ms
        })
    }
}
