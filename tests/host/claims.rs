//! At most once: which identifiers an executor may run.

use std::sync::Arc;

use bronzelock::decision::host::claims::{Claim, ClaimError, Claims};

const HOLD_US: u64 = 60_000_000;

fn id(text: &str) -> Arc<str> {
    text.into()
}

#[test]
fn an_identifier_runs_once() {
    let mut claims = Claims::new(10, HOLD_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::AlreadyTaken));
    assert_eq!(claims.bar(&id("a"), 2), Some(Claim::Taken));
}

#[test]
fn a_barred_identifier_never_runs() {
    let mut claims = Claims::new(10, HOLD_US);
    assert_eq!(claims.bar(&id("a"), 0), Some(Claim::Barred));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::Barred));
}

#[test]
fn a_withdrawn_identifier_is_barred() {
    let mut claims = Claims::new(10, HOLD_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    claims.withdraw(&id("a"));
    assert_eq!(claims.claim(&id("a"), 1), Err(ClaimError::Barred));
}

#[test]
fn a_full_table_takes_no_more_and_bars_nothing() {
    let mut claims = Claims::new(1, HOLD_US);
    assert_eq!(claims.claim(&id("a"), 0), Ok(()));
    assert_eq!(claims.claim(&id("b"), 0), Err(ClaimError::Full));
    assert_eq!(claims.bar(&id("b"), 0), None);
    assert_eq!(
        claims.claim(&id("b"), HOLD_US),
        Ok(()),
        "the first one has expired"
    );
}
