//! Encoding of records and snapshots in the log and between peers.

mod common;

use bronzelock::agreement::change::ChangeAction;
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::outcome::OUTCOMES_MAX;
use bronzelock::agreement::record::{Record, RecordWire, SnapshotWire};
use bronzelock::agreement::snapshot::Snapshot;
use bronzelock::model::names::{BranchName, ServerName, ServiceName};
use bronzelock::operators::answers::from_json;
use common::{change, change_text, zone};

/// Largest size of a snapshot record, in bytes.
///
/// It holds for four services and all remembered outcomes.
const SNAPSHOT_BYTES_MAX: usize = 64 * 1024;

/// Snapshot with the services of the example answers and all remembered outcomes.
fn largest_snapshot() -> Snapshot {
    let mut fold = Fold::new();
    let examples = ["herd", "parlour", "ductbook", "camlog"].map(|name| {
        let path = format!(
            "{}/examples/answers/{name}.json",
            env!("CARGO_MANIFEST_DIR")
        );
        let text = std::fs::read_to_string(path).expect("the example answers are readable");
        ChangeAction::PutAnswers(Box::new(
            from_json(&text).expect("the example answers are valid"),
        ))
    });
    let others = (0..OUTCOMES_MAX).map(|_| ChangeAction::ZoneOut(zone("accra-kaneshie")));
    for (offset, action) in examples.into_iter().chain(others).enumerate() {
        let offset = offset as u64;
        let id = format!("{offset:032x}");
        fold.apply(offset, &Record::Change(change(&id, offset, action)));
    }
    assert_eq!(fold.version().0, 4 + OUTCOMES_MAX as u64);
    fold.snapshot()
}

fn every_action() -> [ChangeAction; 6] {
    let server = ServerName::new("herd-1").expect("a valid name");
    [
        ChangeAction::PutAnswers(Box::new(common::herd())),
        ChangeAction::RemoveBranch {
            service: ServiceName::new("herd").expect("a valid name"),
            branch: BranchName::new("b").expect("a valid name"),
        },
        ChangeAction::ZoneOut(zone("z")),
        ChangeAction::ZoneIn(zone("z")),
        ChangeAction::ServerOut(server.clone()),
        ChangeAction::ServerIn(server),
    ]
}

cases! {
    every_change_round_trips_through_json => {
        for action in every_action() {
            let change = change("c", 7, action);
            assert_eq!(Record::parse(&change_text(&change)), Ok(Record::Change(change)));
        }
    }

    snapshot_round_trips_through_json_within_its_size_limit => {
        let snapshot = largest_snapshot();
        let text = RecordWire::from(&snapshot).to_text();
        assert!(text.len() <= SNAPSHOT_BYTES_MAX, "{} bytes", text.len());
        assert_eq!(Record::parse(&text), Ok(Record::Snapshot(Box::new(snapshot))));
    }

    snapshot_round_trips_through_postcard => {
        let snapshot = largest_snapshot();
        let bytes = postcard::to_allocvec(&SnapshotWire::from(snapshot.clone())).expect("encoded");
        let wire: SnapshotWire = postcard::from_bytes(&bytes).expect("decoded");
        assert_eq!(Snapshot::from(wire), snapshot);
    }

    /// Newer programs must read the records that are already in the log.
    json_of_a_change_is_unchanged => {
        let text = change_text(&change("c-1", 7, ChangeAction::ZoneOut(zone("saraburi"))));
        let expected = concat!(
            r#"{"wire_version":1,"body":{"change":{"id":"c-1","base":7,"#,
            r#""author":"operator of c-1","action":{"zone_out":"saraburi"}}}}"#
        );
        assert_eq!(text, expected);
    }
}
