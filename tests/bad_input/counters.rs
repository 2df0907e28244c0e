//! Every reason and event has a counter of its own, and every plug-in is registered.

use std::collections::BTreeSet;

use bronzelock::kernel::metrics::{Event, Metrics};
use bronzelock::kernel::plugin::{Stage, registered};
use bronzelock::model::reasons::{RefusalReason, RetryReason};
use bronzelock::plugins::metrics::statsd_client;

fn metrics() -> Metrics {
    Metrics::new(statsd_client(None).expect("a client that sends nothing"))
}

/// Names of the counters that are above zero.
fn counted(metrics: &Metrics) -> Vec<String> {
    let totals = metrics.totals().into_iter();
    let above_zero = totals.filter(|counter| counter.total > 0);
    above_zero.map(|counter| counter.name).collect()
}

#[test]
fn every_refusal_reason_counts_under_its_name() {
    for reason in RefusalReason::ALL {
        let metrics = metrics();
        metrics.refused(*reason);
        assert_eq!(counted(&metrics), [format!("refused.{}", reason.as_str())]);
    }
}

#[test]
fn every_retry_reason_counts_under_its_name() {
    for reason in RetryReason::ALL {
        let metrics = metrics();
        metrics.retried(*reason);
        assert_eq!(counted(&metrics), [format!("retried.{}", reason.as_str())]);
    }
}

#[test]
fn every_event_counts_under_its_name() {
    for event in Event::ALL {
        let metrics = metrics();
        metrics.count(*event);
        assert_eq!(counted(&metrics), [event.as_str()]);
    }
}

#[test]
fn counters_are_as_many_as_reasons_and_events() {
    let names: BTreeSet<String> = metrics().totals().into_iter().map(|c| c.name).collect();
    let expected = RefusalReason::ALL.len() + RetryReason::ALL.len() + Event::ALL.len();
    assert_eq!(names.len(), expected);
}

#[test]
fn registered_plugins_are_these_in_this_order() {
    let found: Vec<(Stage, &str)> = registered().iter().map(|p| (p.stage, p.name)).collect();
    let expected = [
        (Stage::Bind, "membership"),
        (Stage::Bind, "peer"),
        (Stage::Background, "config"),
        (Stage::Background, "gate"),
        (Stage::Background, "metrics"),
        (Stage::Background, "renewal"),
        (Stage::Background, "ticket"),
        (Stage::Serve, "admin"),
        (Stage::Serve, "announce"),
        (Stage::Serve, "caller"),
        (Stage::Serve, "probe"),
    ];
    assert_eq!(found, expected);
}
