//! Shared by the test files of the configuration.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;

use bronzelock::agreement::change::{Change, ChangeAction};
use bronzelock::agreement::record::RecordWire;
use bronzelock::model::answers::Answers;
use bronzelock::model::ids::{ChangeId, ConfigVersion};
use bronzelock::model::names::ZoneName;
use bronzelock::operators::answers::from_json;

/// Answers of the herd service as shipped.
pub const HERD: &str = include_str!("../../examples/answers/herd.json");

/// Declares tests, each a name and the body that runs.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:block)+) => {
        $($(#[$meta])* #[test] fn $name() $body)+
    };
}

/// The herd service's answers.
pub fn herd() -> Answers {
    from_json(HERD).expect("the shipped answers fit")
}

/// A name of an availability zone.
pub fn zone(text: &str) -> ZoneName {
    ZoneName::new(text).expect("a valid name")
}

/// A change by one operator.
pub fn change(id: &str, base: u64, action: ChangeAction) -> Change {
    Change {
        id: ChangeId(Arc::from(id)),
        base: ConfigVersion(base),
        author: Arc::from(format!("operator of {id}")),
        action,
    }
}

/// The text of a change as the log carries it.
pub fn change_text(change: &Change) -> String {
    RecordWire::from(change).to_text()
}

/// Runs asynchronous work on a runtime of its own.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(work)
}
