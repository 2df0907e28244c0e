//! When a node's configuration counts as stale for lack of contact with the log and peers.

#[path = "support/cases.rs"]
mod cases;

use std::sync::Arc;

use bronzelock::decision::knowledge::KnowledgeAge;
use bronzelock::model::names::ZoneName;

const AGE_MAX_US: u64 = 5_000_000;
/// A time well past the maximum age, in µs.
const LATER_US: u64 = 60_000_000;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("valid name")
}

/// Checks a node that knew `known_zones` at time 0 and has just heard from `heard_zones`.
fn check_is_stale(known_zones: &[&str], heard_zones: &[&str], log_read: bool, stale: bool) {
    let mut knowledge = KnowledgeAge::new(Arc::from("thailand"), AGE_MAX_US);
    for name in known_zones {
        knowledge.expect_zone("thailand", &zone(name), 0);
    }
    for name in heard_zones {
        knowledge.record_message("thailand", &zone(name), LATER_US);
    }
    if log_read {
        knowledge.record_log_read(LATER_US);
    }
    assert_eq!(knowledge.is_stale(LATER_US), stale);
}

cases! { check_is_stale:
    a_node_that_never_had_peers_is_not_stale(&[], &[], false, false);
    a_log_outage_alone_does_not_make_a_node_stale(&["a", "b", "c"], &["a", "b", "c"], false, false);
    a_node_that_hears_no_zone_is_stale(&["a", "b", "c"], &[], false, true);
    a_node_that_hears_one_zone_of_three_is_stale(&["a", "b", "c"], &["a"], false, true);
    a_node_that_hears_two_zones_of_three_is_not_stale(&["a", "b", "c"], &["a", "b"], false, false);
    a_node_that_reads_the_log_is_not_stale(&["a", "b", "c"], &[], true, false);
}

#[test]
fn zones_of_other_regions_are_ignored() {
    let mut knowledge = KnowledgeAge::new(Arc::from("thailand"), AGE_MAX_US);
    knowledge.expect_zone("thailand", &zone("a"), 0);
    knowledge.record_message("ghana", &zone("z"), LATER_US);
    assert!(knowledge.is_stale(LATER_US));
}

#[test]
fn a_resumed_process_is_stale_until_it_hears_a_zone() {
    let mut knowledge = KnowledgeAge::new(Arc::from("thailand"), AGE_MAX_US);
    knowledge.record_message("thailand", &zone("a"), 1_000);
    knowledge.record_log_read(1_000);
    assert!(knowledge.is_stale(LATER_US));
    knowledge.record_message("thailand", &zone("a"), LATER_US);
    assert!(!knowledge.is_stale(LATER_US));
}
