//! Handles changes of the backend server, of its limits and of what operators took out.

use crate::model::ids::BootId;
use crate::model::reasons::RefusalReason;

use super::Gate;
use super::availability::Announcement;
use super::event::{GateAction, GateLimits, OutReason};

impl Gate {
    pub(super) fn announce(&mut self, boot: BootId, now_us: u64) {
        match self.availability.announce(boot) {
            Announcement::Renewed => {}
            Announcement::Returned => self.restart_ramp_up(),
            Announcement::NewBoot => {
                self.running.begin_generation();
                self.cold_start.begin(now_us);
                self.adaptive.reset();
                self.service_time.reset();
            }
        }
    }

    pub(super) fn set_out(&mut self, out: Option<OutReason>) {
        if self.availability.set_out(out) {
            self.restart_ramp_up();
        }
    }

    fn restart_ramp_up(&mut self) {
        if let Some(limits) = &self.limits {
            self.cold_start.restart_ramp_up(&limits.capacity);
        }
    }

    pub(super) fn configure(&mut self, limits: GateLimits, actions: &mut Vec<GateAction>) {
        let orphans = self.queue.set_branches(&limits.branches);
        self.limits = Some(limits);
        for entry in orphans {
            let refusal = self.refusal(entry.id, RefusalReason::UnknownBranch, self.last_event_us);
            actions.push(refusal);
        }
    }

    pub(super) fn advance_cold_start(&mut self, now_us: u64) {
        if let Some(limits) = &self.limits {
            self.cold_start.advance(&limits.capacity, now_us);
        }
    }
}
