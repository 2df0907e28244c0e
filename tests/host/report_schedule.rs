//! When load reports go out.

use bronzelock::decision::host::report_schedule::{Cause, ReportPlan};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// Reports to other zones within a minute in which the load changes every 300 ms.
fn far_reports_in_a_busy_minute(far_hosts: usize) -> usize {
    let mut plan = ReportPlan::default();
    let mut sent = 0;
    for now_us in (0..60 * S).step_by(25 * MS as usize) {
        let changes = now_us % (300 * MS) == 0;
        let cause = if changes {
            Cause::FarChange
        } else {
            Cause::Time
        };
        sent += usize::from(plan.due(cause, far_hosts, now_us).far);
    }
    sent
}

/// Large deployments in which every third of a second another host is slow: the datagrams between
/// zones must not grow with the square of the hosts.
#[test]
fn changes_in_a_large_deployment_are_told_within_a_budget() {
    let sent = far_reports_in_a_busy_minute(40);
    assert!(sent * 40 <= 60 * 25 + 40, "{} a minute", sent * 40);
}

#[test]
fn changes_in_a_small_deployment_are_told_at_once() {
    assert_eq!(far_reports_in_a_busy_minute(5), 200);
}

/// A host that is not heard for 5 s is taken as lost; one report of two may be dropped.
#[test]
fn hosts_of_any_deployment_are_told_often_enough() {
    for far_hosts in [0, 5, 40, 200, 700] {
        let mut plan = ReportPlan::default();
        plan.due(Cause::Time, far_hosts, S);
        let again = plan.due(Cause::Time, far_hosts, S + 2_200 * MS);
        assert!(again.far, "{far_hosts} hosts in other zones");
    }
}

#[test]
fn urgent_news_is_told_at_once() {
    let mut plan = ReportPlan::default();
    plan.due(Cause::Time, 200, S);
    assert!(plan.due(Cause::Urgent, 200, S + MS).far);
}

#[test]
fn a_change_that_waits_sets_the_next_wake_up() {
    let mut plan = ReportPlan::default();
    plan.due(Cause::Time, 20, S);
    let due = plan.due(Cause::FarChange, 20, S + MS);
    assert!(due.near && !due.far);
    assert_eq!(plan.next_us(), S + 250 * MS + MS);
    assert!(plan.due(Cause::Time, 20, S + 800 * MS).far);
}
