//! Schedule of load reports.

use bronzelock::decision::host::report_schedule::{ReportSchedule, ReportTrigger};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// Counts a minute's reports to other zones with load changes every 300 ms.
fn other_zone_reports_in_a_busy_minute(other_zone_hosts: usize) -> usize {
    let mut schedule = ReportSchedule::default();
    let mut sent = 0;
    for now_us in (0..60 * S).step_by(25 * MS as usize) {
        let changes = now_us % (300 * MS) == 0;
        let trigger = if changes {
            ReportTrigger::OtherZoneChange
        } else {
            ReportTrigger::Timer
        };
        sent += usize::from(schedule.due(trigger, other_zone_hosts, now_us).other_zones);
    }
    sent
}

/// The datagrams between zones must not grow with the square of the hosts.
///
/// In a large deployment, another host becomes slow every third of a second.
#[test]
fn changes_in_a_large_deployment_are_reported_within_a_budget() {
    let sent = other_zone_reports_in_a_busy_minute(40);
    assert!(
        sent * 40 <= 60 * 25 + 40,
        "{} datagrams a minute",
        sent * 40
    );
}

#[test]
fn changes_in_a_small_deployment_are_reported_at_once() {
    assert_eq!(other_zone_reports_in_a_busy_minute(5), 200);
}

/// Reports must be frequent enough for the liveness timeout.
///
/// A host counts as lost after 5 s without a report, and one report of two may be dropped.
#[test]
fn hosts_of_any_deployment_get_reports_often_enough() {
    for other_zone_hosts in [0, 5, 40, 200, 700] {
        let mut schedule = ReportSchedule::default();
        schedule.due(ReportTrigger::Timer, other_zone_hosts, S);
        let again = schedule.due(ReportTrigger::Timer, other_zone_hosts, S + 2_200 * MS);
        assert!(again.other_zones, "{other_zone_hosts} hosts in other zones");
    }
}

#[test]
fn urgent_reports_are_sent_at_once() {
    let mut schedule = ReportSchedule::default();
    schedule.due(ReportTrigger::Timer, 200, S);
    assert!(schedule.due(ReportTrigger::Urgent, 200, S + MS).other_zones);
}

#[test]
fn a_deferred_change_sets_the_next_wake_up() {
    let mut schedule = ReportSchedule::default();
    schedule.due(ReportTrigger::Timer, 20, S);
    let due = schedule.due(ReportTrigger::OtherZoneChange, 20, S + MS);
    assert!(due.same_zone && !due.other_zones);
    assert_eq!(schedule.next_due_us(), S + 250 * MS + MS);
    assert!(
        schedule
            .due(ReportTrigger::Timer, 20, S + 800 * MS)
            .other_zones
    );
}
