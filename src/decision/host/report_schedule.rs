//! Schedule of the load reports that a node sends to other hosts.
//!
//! Reports within the availability zone follow every change. Reports to other zones are rate
//! limited, since their number grows with the square of the hosts and traffic between zones is
//! expensive.

/// Period of unchanged reports within the same availability zone, in µs.
const SAME_ZONE_PERIOD_US: u64 = 250_000;

/// Period of unchanged reports to other availability zones, in µs.
const OTHER_ZONE_PERIOD_US: u64 = 1_500_000;

/// Non-urgent datagrams per second that a node sends to other availability zones.
const OTHER_ZONE_DATAGRAMS_PER_S: u64 = 25;

/// Maximum interval of reports to other zones, in µs.
///
/// A host counts as lost after two of these intervals without a report.
const OTHER_ZONE_INTERVAL_MAX_US: u64 = 2_200_000;

/// Period of reports to hosts that get no regular ones, in µs.
///
/// It is well below the silence after which a host is forgotten, since the retry budget is divided
/// by the number of known hosts.
const REMAINING_PERIOD_US: u64 = 30_000_000;

/// Event after which reports may be due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportTrigger {
    /// A load change that matters within the same availability zone.
    SameZoneChange,
    /// A load change that matters in other availability zones as well.
    OtherZoneChange,
    /// News for all hosts, for example that this node exists.
    Urgent,
    /// The due time has come.
    Timer,
}

/// Which hosts should receive a report now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// Hosts of the same availability zone.
    pub same_zone: bool,
    /// Hosts of other availability zones that get regular reports.
    pub other_zones: bool,
    /// The remaining hosts of other availability zones.
    pub remaining: bool,
}

/// Report schedule of one node.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    same_zone_due_us: u64,
    other_zone_due_us: u64,
    remaining_due_us: u64,
    /// Earliest time of the next change report to other zones, in µs.
    other_zone_allowed_us: u64,
    other_zone_changed: bool,
}

impl ReportSchedule {
    /// Returns which reports are due; the caller sends them.
    ///
    /// `other_zone_hosts` is the number of hosts in other availability zones that get regular
    /// reports.
    pub fn due(&mut self, trigger: ReportTrigger, other_zone_hosts: usize, now_us: u64) -> Due {
        self.other_zone_changed |= trigger == ReportTrigger::OtherZoneChange;
        let due = Due {
            same_zone: trigger != ReportTrigger::Timer || now_us >= self.same_zone_due_us,
            other_zones: trigger == ReportTrigger::Urgent
                || now_us >= self.other_zone_due_us
                || (self.other_zone_changed && now_us >= self.other_zone_allowed_us),
            remaining: now_us >= self.remaining_due_us,
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
        if due.remaining {
            self.remaining_due_us = now_us + REMAINING_PERIOD_US;
        }
        due
    }

    /// Time of the next timer trigger, in µs.
    pub fn next_due_us(&self) -> u64 {
        let other_zone_us = if self.other_zone_changed {
            self.other_zone_due_us.min(self.other_zone_allowed_us)
        } else {
            self.other_zone_due_us
        };
        self.same_zone_due_us
            .min(other_zone_us)
            .min(self.remaining_due_us)
    }
}

fn other_zone_interval_us(other_zone_hosts: usize) -> u64 {
    let interval_us = other_zone_hosts as u64 * 1_000_000 / OTHER_ZONE_DATAGRAMS_PER_S;
    interval_us.min(OTHER_ZONE_INTERVAL_MAX_US)
}
