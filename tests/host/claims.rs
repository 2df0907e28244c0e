//! At-most-once execution: which identifiers an executor may run.

use std::sync::Arc;

use bronzelock::decision::host::claims::{ClaimError, ClaimState, Claims};
use bronzelock::model::ids::Incarnation;

const RETENTION_US: u64 = 60_000_000;

fn id(text: &str) -> Arc<str> {
    text.into()
}

#[test]
fn an_identifier_runs_once() {
    let mut claims = Claims::new(10, RETENTION_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::AlreadyClaimed));
    assert_eq!(claims.block(&id("a"), 2), Some(ClaimState::Claimed));
}

#[test]
fn a_blocked_identifier_never_runs() {
    let mut claims = Claims::new(10, RETENTION_US);
    assert_eq!(claims.block(&id("a"), 0), Some(ClaimState::Blocked));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::Blocked));
}

#[test]
fn a_withdrawn_identifier_is_blocked() {
    let mut claims = Claims::new(10, RETENTION_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    claims.withdraw(&id("a"));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::Blocked));
}

#[test]
fn a_full_table_claims_and_blocks_nothing() {
    let mut claims = Claims::new(1, RETENTION_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    assert_eq!(claims.claim(&id("b"), 0), Err(ClaimError::Full));
    assert_eq!(claims.block(&id("b"), 0), None);
    assert_eq!(
        claims.claim(&id("b"), RETENTION_US),
        Ok(()),
        "the first one has expired"
    );
}

/// A change of the service must not make the outcome of a lost request unknown.
#[test]
fn a_change_of_the_service_does_not_end_the_run_of_a_node() {
    let started = Incarnation(7);
    let changed = started.after_service_changes(1);
    assert!(started.is_same_run(changed) && started.is_outdated_by(changed));
    assert!(!changed.is_outdated_by(started));
    assert!(!Incarnation(8).is_same_run(changed) && !Incarnation(6).is_outdated_by(changed));
}
