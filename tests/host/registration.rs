//! Registration of a host: few calls to the log service, and no two hosts that miss each other.

use std::net::{IpAddr, Ipv4Addr};

use bronzelock::decision::host::peers::Introduction;
use bronzelock::decision::host::registration::{NextCall, Registration};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{ServiceName, ZoneName};

fn introduction(incarnation: u64, service: &str) -> Introduction {
    Introduction {
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)),
        incarnation: Incarnation(incarnation),
        zone: ZoneName::new("ratchaburi").expect("valid name"),
        service: ServiceName::new(service).expect("valid name"),
        service_changes: 0,
    }
}

#[test]
fn the_first_start_writes_before_it_reads() {
    let mut registration = Registration::new(true);
    assert_eq!(registration.next(), NextCall::Append);
    assert_eq!(
        registration.next(),
        NextCall::Append,
        "again after a failure"
    );
    registration.appended();
    assert!(matches!(registration.next(), NextCall::Read { pause_ms } if pause_ms > 0));
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

/// Everything restarts at once: each node makes a single call.
#[test]
fn a_restart_reads_at_once_and_does_not_write_its_record_again() {
    let mut registration = Registration::new(false);
    assert_eq!(registration.next(), NextCall::Read { pause_ms: 0 });
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

#[test]
fn a_host_that_is_not_in_the_log_writes_and_reads_again() {
    let mut registration = Registration::new(false);
    registration.read(false);
    assert_eq!(registration.next(), NextCall::Append);
    registration.appended();
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

#[test]
fn a_record_of_an_earlier_run_is_current_unless_the_host_changed() {
    assert!(introduction(1, "herd").is_of_same_host(&introduction(2, "herd")));
    assert!(!introduction(1, "herd").is_of_same_host(&introduction(1, "parlour")));
}
