//! When a node sends load reports, and to whom.
//!
//! Reports within the availability zone follow every change. Those to other zones are bounded, since
//! their number grows with the square of the hosts and bytes between zones are dear.

/// Time between two reports without a change, to hosts of the same availability zone, in µs.
const SAME_ZONE_PERIOD_US: u64 = 250_000;

/// Time between two reports without a change, to hosts of other availability zones, in µs.
const OTHER_ZONE_PERIOD_US: u64 = 1_500_000;

/// Datagrams to other availability zones per second and node, unless they are urgent.
const OTHER_ZONE_DATAGRAMS_PER_S: u64 = 25;

/// Longest time between two reports to other zones; a host is taken as lost after two of them.
const OTHER_ZONE_INTERVAL_MAX_US: u64 = 2_200_000;

/// Why reports may be due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportTrigger {
    /// The load changed in a way that matters in the same zone.
    SameZoneChange,
    /// The load changed in a way that matters in other zones, too.
    OtherZoneChange,
    /// There is news for all hosts at once, such as that this node exists.
    Urgent,
    /// Time has passed.
    Timer,
}

/// Which hosts are to be told now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// Those of the same availability zone.
    pub same_zone: bool,
    /// Those of other availability zones.
    pub other_zones: bool,
}

/// The reports of one node.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    same_zone_due_us: u64,
    other_zone_due_us: u64,
    /// When the next change may be told in other zones, in µs.
    other_zone_allowed_us: u64,
    other_zone_changed: bool,
}

impl ReportSchedule {
    /// Decides what is due; the caller sends it. `other_zone_hosts` are those in other zones.
    pub fn due(&mut self, trigger: ReportTrigger, other_zone_hosts: usize, now_us: u64) -> Due {
        self.other_zone_changed |= trigger == ReportTrigger::OtherZoneChange;
        let due = Due {
            same_zone: trigger != ReportTrigger::Timer || now_us >= self.same_zone_due_us,
            other_zones: trigger == ReportTrigger::Urgent
                || now_us >= self.other_zone_due_us
                || (self.other_zone_changed && now_us >= self.other_zone_allowed_us),
        };
        if due.same_zone {
            self.same_zone_due_us = now_us + SAME_ZONE_PERIOD_US;
        }
        if due.other_zones {
            let interval_us = other_zone_interval_us(other_zone_hosts);
            self.other_zone_changed = false;
            self.other_zone_allowed_us = now_us + interval_us;
            self.other_zone_due_us = now_us + interval_us.max(OTHER_ZONE_PERIOD_US);
        }
        due
    }

    /// When to ask again without another cause, in µs.
    pub fn next_due_us(&self) -> u64 {
        let other_zone_us = if self.other_zone_changed {
            self.other_zone_due_us.min(self.other_zone_allowed_us)
        } else {
            self.other_zone_due_us
        };
        self.same_zone_due_us.min(other_zone_us)
    }
}

fn other_zone_interval_us(other_zone_hosts: usize) -> u64 {
    let interval_us = other_zone_hosts as u64 * 1_000_000 / OTHER_ZONE_DATAGRAMS_PER_S;
    interval_us.min(OTHER_ZONE_INTERVAL_MAX_US)
}
