//! Whether a lost run met the end of its backend server, or only of a connection.

use std::sync::Arc;

use bronzelock::decision::host::crash_watch::{CrashId, CrashWatch, LostRun};
use bronzelock::model::body::Body;
use bronzelock::model::request_digest::{RequestContent, RequestDigest};

const FIRST: CrashId = CrashId(1);
const SECOND: CrashId = CrashId(2);

fn lost(id: &str, instance: &str, at_us: u64) -> LostRun {
    LostRun {
        id: Arc::from(id),
        digest: RequestDigest([7; 16]),
        instance: Arc::from(instance),
        at_us,
    }
}

/// A watch at which runs `a` and `b` of instance `i-1` were lost at 100 µs.
fn watch() -> CrashWatch {
    let mut watch = CrashWatch::default();
    watch.lost(lost("a", "i-1", 100));
    watch.lost(lost("b", "i-1", 100));
    watch
}

#[test]
fn nothing_that_listens_shows_a_crash_with_all_runs() {
    let mut watch = watch();
    let crash = watch.nothing_listens(FIRST, 200).expect("a crash");
    assert_eq!((crash.id, crash.runs.len()), (FIRST, 2));
    assert_eq!(watch.nothing_listens(SECOND, 300), None);
}

#[test]
fn another_process_that_answers_shows_a_crash() {
    let mut watch = watch();
    let crash = watch.answered("i-2", 150, FIRST, 200).expect("a crash");
    assert_eq!((&*crash.instance, crash.runs.len()), ("i-1", 2));
}

/// A reset link, a reaped idle connection or a garbled answer ends no backend server.
#[test]
fn an_answer_of_the_same_process_shows_that_only_connections_ended() {
    let mut watch = watch();
    assert_eq!(watch.answered("i-1", 150, FIRST, 200), None);
    assert_eq!(watch.nothing_listens(FIRST, 300), None);
}

#[test]
fn an_answer_to_a_request_from_before_the_loss_shows_nothing() {
    let mut watch = watch();
    assert_eq!(watch.answered("i-1", 50, FIRST, 200), None);
    assert!(watch.nothing_listens(FIRST, 300).is_some());
}

/// Losses of one crash come one after the other, and each would count as a crash of its own.
#[test]
fn runs_that_are_lost_later_belong_to_the_same_crash() {
    let mut watch = watch();
    watch.nothing_listens(FIRST, 200).expect("a crash");
    watch.lost(lost("c", "i-1", 250));
    let rest = watch.nothing_listens(SECOND, 300).expect("the rest");
    assert_eq!((rest.id, rest.runs.len()), (FIRST, 1));
}

/// A backend server may start again under the identifier that it had.
#[test]
fn a_second_end_of_the_same_identifier_is_another_crash() {
    let mut watch = watch();
    watch.nothing_listens(FIRST, 200).expect("a crash");
    assert_eq!(watch.answered("i-1", 1_000, SECOND, 1_100), None);
    watch.lost(lost("c", "i-1", 1_200));
    let crash = watch.nothing_listens(SECOND, 1_300).expect("a crash");
    assert_eq!(crash.id, SECOND);
}

#[test]
fn a_loss_that_nothing_explains_is_forgotten() {
    let mut watch = watch();
    assert_eq!(watch.nothing_listens(FIRST, 60_000_000), None);
    assert!(!watch.is_waiting());
}

/// Another caller's request must not get the digest of a harmful one.
#[test]
fn each_part_of_a_request_counts_for_its_digest() {
    let (body, other_body, empty) = (Body::from("x"), Body::from("y"), Body::default());
    let content = RequestContent {
        caller_service: b"herd",
        host: b"h",
        method: b"GET",
        target: b"/a",
        body: &body,
    };
    let others = [
        RequestContent {
            caller_service: b"parlour",
            ..content
        },
        RequestContent {
            host: b"i",
            ..content
        },
        RequestContent {
            method: b"PUT",
            ..content
        },
        RequestContent {
            target: b"/ax",
            body: &empty,
            ..content
        },
        RequestContent {
            target: b"/a?q",
            ..content
        },
        RequestContent {
            body: &other_body,
            ..content
        },
    ];
    let digest = RequestDigest::of(&content);
    assert_eq!(digest, RequestDigest::of(&content.clone()));
    for other in &others {
        assert_ne!(digest, RequestDigest::of(other), "{other:?}");
    }
}
