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
    Unidentified,
    /// It announced itself.
    Announced(Announcement),
}

/// The known backend server of a host.
#[derive(Debug)]
pub struct KnownServer {
    /// Service of the settings, or of the last announcement applied.
    service: ServiceName,
    process: Process,
}

impl KnownServer {
    /// Starts with an unknown process; `service` is that of the settings.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            process: Process::Unknown,
        }
    }

    /// Service that the host serves.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Last announcement applied.
    pub fn announcement(&self) -> Option<&Announcement> {
        match &self.process {
            Process::Announced(announcement) => Some(announcement),
            Process::Unknown | Process::Answered { .. } | Process::Unidentified => None,
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
            Process::Unknown | Process::Answered { .. } | Process::Unidentified => None,
        }
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
                self.process = Process::Unidentified;
                false
            }
            Process::Unidentified => false,
            Process::Announced(known) => *known.instance == *instance,
        }
    }

    /// Applies an announcement and returns how it relates to what was known.
    pub fn apply(&mut self, announcement: Announcement) -> Freshness {
        let freshness = announcement.freshness(self.announcement());
        if freshness == Freshness::Stale {
            return freshness;
        }
        if self.service != announcement.service {
            self.service = announcement.service.clone();
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
            | Process::Unidentified
            | Process::Announced(_) => departure.announcement(self.announcement(), &self.service),
        }
    }
}
