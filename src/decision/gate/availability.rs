//! Whether the backend server takes new work at all.

use crate::model::ids::BootId;
use crate::model::load::ServerState;
use crate::model::reasons::RefusalReason;

use super::event::OutReason;

/// What an announcement says about the backend server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// It runs since before, and was present.
    Renewed,
    /// It runs since before, and was absent in between.
    Returned,
    /// It has started anew.
    NewBoot,
}

/// Presence, drain and operators' state of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Availability {
    boot: Option<BootId>,
    present: bool,
    leaving: bool,
    out: Option<OutReason>,
    restart_suspected: bool,
}

impl Availability {
    /// Takes note of an announcement. A new process is not leaving, whatever the old one was.
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

    /// Takes note that it may have started anew; the next announcement decides.
    pub fn suspect_restart(&mut self) {
        self.restart_suspected = true;
    }

    /// Whether it may have started anew since its last announcement.
    pub fn is_restart_suspected(&self) -> bool {
        self.restart_suspected
    }

    /// Takes note that the lease lapsed.
    pub fn set_absent(&mut self) {
        self.present = false;
    }

    /// Takes note that the backend server or its node is leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets what operators have taken out; true if this brings the backend server back.
    pub fn set_out(&mut self, out: Option<OutReason>) -> bool {
        let before = std::mem::replace(&mut self.out, out);
        before.is_some() && out.is_none()
    }

    /// Why no new work is taken; none if it is.
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

    /// The state that keeps new work away; none if new work is taken.
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
