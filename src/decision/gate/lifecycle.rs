//! Changes of the backend server, its limits and what operators have taken out.

use crate::model::ids::BootId;
use crate::model::reasons::RefusalReason;

use super::Gate;
use super::availability::Announcement;
use super::event::{GateAction, GateLimits, OutReason};

impl Gate {
    pub(super) fn announce(&mut self, boot: BootId, now_us: u64) {
        match self.availability.announce(boot) {
            Announcement::Renewed => {}
            Announcement::Returned => self.grow_again(),
            Announcement::NewBoot => {
                self.running.restart();
                self.cold_start.begin(now_us);
                self.adaptive.restart();
                self.service_time.restart();
            }
        }
    }

    pub(super) fn set_out(&mut self, out: Option<OutReason>) {
        if self.availability.set_out(out) {
            self.grow_again();
        }
    }

    fn grow_again(&mut self) {
        if let Some(limits) = &self.limits {
            self.cold_start.grow_again(&limits.bears);
        }
    }

    pub(super) fn configure(&mut self, limits: GateLimits, actions: &mut Vec<GateAction>) {
        let orphans = self.queue.set_branches(&limits.branches);
        self.limits = Some(limits);
        for entry in orphans {
            let refused = self.refusal(entry.id, RefusalReason::UnknownBranch, self.last_event_us);
            actions.push(refused);
        }
    }

    pub(super) fn advance_cold_start(&mut self, now_us: u64) {
        if let Some(limits) = &self.limits {
            self.cold_start.advance(&limits.bears, now_us);
        }
    }
}
