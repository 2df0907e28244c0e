//! How many hosts may refuse a request.

use bronzelock::decision::host::refusals::Refusals;
use bronzelock::model::reasons::RefusalReason;

fn refused_by(reasons: &[RefusalReason]) -> Refusals {
    let mut refusals = Refusals::default();
    for reason in reasons {
        refusals.record(*reason);
    }
    refusals
}

#[test]
fn three_hosts_may_refuse_a_request() {
    let refusals = refused_by(&[RefusalReason::QueueFull; 2]);
    assert!(refusals.allow_another() && refusals.next_is_last());
    assert!(!refused_by(&[RefusalReason::QueueFull; 3]).allow_another());
}

/// Guards against a refusal to the caller since other nodes' introductions were outdated.
#[test]
fn hosts_of_another_service_use_up_no_tries() {
    let refusals = refused_by(&[RefusalReason::OtherService; 9]);
    assert!(refusals.allow_another() && !refusals.next_is_last());
}
