//! Whether the backend server accepts new requests at all.

use crate::model::ids::BootId;
use crate::model::load::ServerState;
use crate::model::reasons::RefusalReason;

use super::event::OutReason;

/// What an announcement says about the process of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// The same process, which was present.
    Renewed,
    /// The same process, which was absent in between.
    Returned,
    /// A new process.
    NewBoot,
}

/// Presence and drain of one backend server, and whether operators took it out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Availability {
    boot: Option<BootId>,
    present: bool,
    leaving: bool,
    out: Option<OutReason>,
    restart_suspected: bool,
}

impl Availability {
    /// Records an announcement. A new process is not leaving, even if the old one was.
    pub fn announce(&mut self, boot: BootId) -> Announcement {
        self.restart_suspected = false;
        let was_present = std::mem::replace(&mut self.present, true);
        if self.boot != Some(boot) {
            self.boot = Some(boot);
            self.leaving = false;
            return Announcement::NewBoot;
        }
        if was_present {
            Announcement::Renewed
        } else {
            Announcement::Returned
        }
    }

    /// Records that the server may have restarted; the next announcement settles it.
    pub fn suspect_restart(&mut self) {
        self.restart_suspected = true;
    }

    /// Whether the server may have restarted since its last announcement.
    pub fn is_restart_suspected(&self) -> bool {
        self.restart_suspected
    }

    /// Records that the lease lapsed.
    pub fn set_absent(&mut self) {
        self.present = false;
    }

    /// Records that the backend server or its node is shutting down.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets what operators took out; returns true if this returns the server to service.
    pub fn set_out(&mut self, out: Option<OutReason>) -> bool {
        let before = std::mem::replace(&mut self.out, out);
        before.is_some() && out.is_none()
    }

    /// Reason to refuse new requests; `None` if they are accepted.
    pub fn closed_reason(&self) -> Option<RefusalReason> {
        match self.closed_state()? {
            ServerState::Leaving => Some(RefusalReason::Leaving),
            ServerState::Out if self.out == Some(OutReason::Zone) => Some(RefusalReason::ZoneOut),
            ServerState::Out => Some(RefusalReason::ServerOut),
            ServerState::Absent | ServerState::Cold | ServerState::Warm => {
                Some(RefusalReason::ServerAbsent)
            }
        }
    }

    /// State in which new requests are refused; `None` if they are accepted.
    pub fn closed_state(&self) -> Option<ServerState> {
        if !self.present {
            Some(ServerState::Absent)
        } else if self.out.is_some() {
            Some(ServerState::Out)
        } else if self.leaving {
            Some(ServerState::Leaving)
        } else {
            None
        }
    }
}
