//! When a node counts as cut off from the log and its peers.

#[path = "support/cases.rs"]
mod cases;

use std::sync::Arc;

use bronzelock::decision::knowledge::Knowledge;
use bronzelock::model::names::ZoneName;

const BOUND_US: u64 = 5_000_000;
/// A time well past the bound, in µs.
const LATER_US: u64 = 60_000_000;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

/// A node that knew `known` zones at the start and has just heard from `heard`.
fn check_cut_off(known: &[&str], heard: &[&str], log_read: bool, cut_off: bool) {
    let mut knowledge = Knowledge::new(Arc::from("thailand"), BOUND_US);
    for name in known {
        knowledge.expect("thailand", &zone(name), 0);
    }
    for name in heard {
        knowledge.heard("thailand", &zone(name), LATER_US);
    }
    if log_read {
        knowledge.log_read(LATER_US);
    }
    assert_eq!(knowledge.is_cut_off(LATER_US), cut_off);
}

cases! { check_cut_off:
    a_lone_node_that_never_had_peers_serves(&[], &[], false, false);
    an_outage_of_the_log_alone_cuts_nobody_off(&["a", "b", "c"], &["a", "b", "c"], false, false);
    a_node_that_hears_nobody_is_cut_off(&["a", "b", "c"], &[], false, true);
    one_zone_of_three_by_itself_is_cut_off(&["a", "b", "c"], &["a"], false, true);
    two_zones_of_three_serve_on(&["a", "b", "c"], &["a", "b"], false, false);
    a_node_that_reads_the_log_is_never_cut_off(&["a", "b", "c"], &[], true, false);
}

#[test]
fn other_regions_count_for_nothing() {
    let mut knowledge = Knowledge::new(Arc::from("thailand"), BOUND_US);
    knowledge.expect("thailand", &zone("a"), 0);
    knowledge.heard("ghana", &zone("z"), LATER_US);
    assert!(knowledge.is_cut_off(LATER_US));
}

#[test]
fn a_process_that_wakes_from_a_pause_is_cut_off_until_it_hears() {
    let mut knowledge = Knowledge::new(Arc::from("thailand"), BOUND_US);
    knowledge.heard("thailand", &zone("a"), 1_000);
    knowledge.log_read(1_000);
    assert!(knowledge.is_cut_off(LATER_US));
    knowledge.heard("thailand", &zone("a"), LATER_US);
    assert!(!knowledge.is_cut_off(LATER_US));
}
