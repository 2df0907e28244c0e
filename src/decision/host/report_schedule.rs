//! When a node sends load reports, and to whom.
//!
//! Reports within the availability zone follow every change. Those to other zones are bounded, since
//! their number grows with the square of the hosts and bytes between zones are dear.

/// Time between two reports without a change, to hosts of the same availability zone, in µs.
const NEAR_PERIOD_US: u64 = 250_000;

/// Time between two reports without a change, to hosts of other availability zones, in µs.
const FAR_PERIOD_US: u64 = 1_500_000;

/// Datagrams to other availability zones per second and node, unless they are urgent.
const FAR_DATAGRAMS_PER_S: u64 = 25;

/// Longest time between two reports to other zones; a host is taken as lost after two of them.
const FAR_INTERVAL_MAX_US: u64 = 2_200_000;

/// Why reports may be due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The load changed in a way that matters in the same zone.
    NearChange,
    /// The load changed in a way that matters in other zones, too.
    FarChange,
    /// There is news for all hosts at once, such as that this node exists.
    Urgent,
    /// Time has passed.
    Time,
}

/// Which hosts are to be told now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// Those of the same availability zone.
    pub near: bool,
    /// Those of other availability zones.
    pub far: bool,
}

/// The reports of one node.
#[derive(Debug, Default)]
pub struct ReportPlan {
    near_due_us: u64,
    far_due_us: u64,
    /// When the next change may be told in other zones, in µs.
    far_allowed_us: u64,
    far_changed: bool,
}

impl ReportPlan {
    /// Decides what is due; the caller sends it. `far_hosts` are those in other zones.
    pub fn due(&mut self, cause: Cause, far_hosts: usize, now_us: u64) -> Due {
        self.far_changed |= cause == Cause::FarChange;
        let due = Due {
            near: cause != Cause::Time || now_us >= self.near_due_us,
            far: cause == Cause::Urgent
                || now_us >= self.far_due_us
                || (self.far_changed && now_us >= self.far_allowed_us),
        };
        if due.near {
            self.near_due_us = now_us + NEAR_PERIOD_US;
        }
        if due.far {
            let interval_us = far_interval_us(far_hosts);
            self.far_changed = false;
            self.far_allowed_us = now_us + interval_us;
            self.far_due_us = now_us + interval_us.max(FAR_PERIOD_US);
        }
        due
    }

    /// When to ask again without another cause, in µs.
    pub fn next_us(&self) -> u64 {
        let far_us = if self.far_changed {
            self.far_due_us.min(self.far_allowed_us)
        } else {
            self.far_due_us
        };
        self.near_due_us.min(far_us)
    }
}

fn far_interval_us(far_hosts: usize) -> u64 {
    let interval_us = far_hosts as u64 * 1_000_000 / FAR_DATAGRAMS_PER_S;
    interval_us.min(FAR_INTERVAL_MAX_US)
}
