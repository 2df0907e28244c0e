//! Order of what backend servers say of themselves.

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement, Novelty};
use bronzelock::model::names::ServiceName;

fn said(instance: &str, born_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: ServiceName::new("herd").expect("valid name"),
        born_ms,
        sequence,
        slots: 12,
        state: AnnouncedState::Ready,
        cold_left_us: 0,
    }
}

fn check(known: (&str, u64, u64), next: (&str, u64, u64), expected: Novelty) {
    let known = said(known.0, known.1, known.2);
    let next = said(next.0, next.1, next.2);
    assert_eq!(next.novelty(Some(&known)), expected);
}

crate::cases! { check:
    a_later_word_renews(("a", 1, 4), ("a", 1, 5), Novelty::Renewed);
    a_late_word_changes_nothing(("a", 1, 4), ("a", 1, 4), Novelty::Outdated);
    another_start_under_the_same_identifier(("a", 1, 9), ("a", 2, 1), Novelty::NewStart);
    a_late_word_of_a_crashed_start(("b", 2, 1), ("a", 1, 9), Novelty::Outdated);
    another_server_at_the_address(("a", 1, 9), ("b", 2, 1), Novelty::NewStart);
}
