//! Ticket table, text form and fingerprint of tickets.

use std::sync::Arc;

use bronzelock::decision::ticket::{
    Claim, Fingerprint, FingerprintParts, StoredAnswer, TICKET_TEXT_BYTES_MAX, Ticket, TicketError,
    TicketKey, TicketOutcome, TicketTable, TicketTableSettings, before_executor, ticket_required,
};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{BranchName, NAME_BYTES_MAX, ServerName, ServiceName};
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIFETIME_US: u64 = 1_000_000;
const SETTINGS: TicketTableSettings = TicketTableSettings {
    capacity: 2,
    lifetime_us: LIFETIME_US,
    answer_bytes_max: 100,
    answers_bytes_total_max: 150,
};

fn server(name: &str) -> ServerName {
    ServerName::new(name).unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn fingerprint(body: &[u8]) -> Fingerprint {
    Fingerprint::of(parts(body))
}

fn parts(body: &[u8]) -> FingerprintParts<'_> {
    static SERVICE: std::sync::LazyLock<ServiceName> = std::sync::LazyLock::new(|| service("herd"));
    static BRANCH: std::sync::LazyLock<BranchName> =
        std::sync::LazyLock::new(|| BranchName::new("srisawat").unwrap());
    FingerprintParts {
        service: &SERVICE,
        branch: &BRANCH,
        method: "POST",
        path: "/gates/4",
        key: Some("cow-117"),
        body,
    }
}

fn answered(body_bytes: usize) -> TicketOutcome {
    TicketOutcome::Answered(Arc::new(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; body_bytes]),
    }))
}

fn refusal(reason: RefusalReason, run_state: RunState, retry_after_ms: Option<u64>) -> Refusal {
    Refusal {
        reason,
        run_state,
        retry_after_ms,
    }
}

fn not_run(reason: RefusalReason) -> Refusal {
    refusal(reason, RunState::NotRun, Some(0))
}

fn unknown(reason: RefusalReason) -> Refusal {
    refusal(reason, RunState::Unknown, None)
}

/// A table and its first ticket, issued at 0.
struct Executor {
    table: TicketTable,
    ticket: Ticket,
}

impl Executor {
    fn new() -> Self {
        let mut table = TicketTable::new(server("herd-1"), Incarnation(7), SETTINGS);
        let ticket = table.issue(&service("herd"), 0).unwrap();
        Self { table, ticket }
    }

    fn claim(&mut self, body: &[u8], now_us: u64) -> Claim {
        self.claim_as(&self.ticket.clone(), body, now_us)
    }

    fn claim_as(&mut self, ticket: &Ticket, body: &[u8], now_us: u64) -> Claim {
        self.table
            .claim(ticket, &service("herd"), fingerprint(body), now_us)
    }

    fn run(&mut self, outcome: TicketOutcome) {
        assert_eq!(self.claim(b"a", 0), Claim::Run);
        assert!(self.table.may_dispatch(self.ticket.serial, 0));
        self.table.finish(self.ticket.serial, outcome, 0);
    }
}

macro_rules! table_cases {
    ($($name:ident: $case:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let case: fn(Executor) = $case;
                case(Executor::new());
            }
        )+
    };
}

table_cases! {
    a_repeat_joins_then_replays: |mut executor| {
        assert_eq!(executor.claim(b"a", 0), Claim::Run);
        assert_eq!(executor.claim(b"a", 1), Claim::Join);
        assert!(executor.table.may_dispatch(0, 2));
        assert_eq!(executor.claim(b"a", 3), Claim::Join);
        executor.table.finish(0, answered(5), 4);
        assert!(matches!(executor.claim(b"a", 5), Claim::Replay(answer) if answer.body.len() == 5));
    },
    a_dispatch_is_allowed_once: |mut executor| {
        assert!(!executor.table.may_dispatch(0, 0), "not claimed");
        executor.claim(b"a", 0);
        assert!(executor.table.may_dispatch(0, 0));
        assert!(!executor.table.may_dispatch(0, 0));
        assert_eq!(executor.claim(b"a", 0), Claim::Join, "the first dispatch still runs");
    },
    a_dispatch_after_expiry_is_refused_and_remembered: |mut executor| {
        executor.claim(b"a", 0);
        assert!(!executor.table.may_dispatch(0, LIFETIME_US));
        let expected = not_run(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), Claim::Refuse(expected));
    },
    a_not_run_refusal_stays: |mut executor| {
        executor.claim(b"a", 0);
        let told = refusal(RefusalReason::QueueFull, RunState::NotRun, Some(40));
        executor.table.finish(0, TicketOutcome::NotRun(told), 0);
        executor.table.finish(0, answered(1), 0);
        assert_eq!(executor.claim(b"a", LIFETIME_US - 1), Claim::Refuse(told));
        assert!(!executor.table.may_dispatch(0, 0));
    },
    another_request_is_unknown_while_the_first_may_run: |mut executor| {
        executor.claim(b"a", 0);
        let expected = unknown(RefusalReason::TicketReused);
        assert_eq!(executor.claim(b"b", 0), Claim::Refuse(expected));
    },
    another_request_is_not_run_once_the_first_is: |mut executor| {
        executor.claim(b"a", 0);
        let told = not_run(RefusalReason::QueueFull);
        executor.table.finish(0, TicketOutcome::NotRun(told), 0);
        let expected = not_run(RefusalReason::TicketReused);
        assert_eq!(executor.claim(b"b", 0), Claim::Refuse(expected));
    },
    an_unused_ticket_expires_as_not_run_until_forgotten: |mut executor| {
        let expected = not_run(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), Claim::Refuse(expected));
        executor.table.expire(LIFETIME_US);
        let expected = unknown(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), Claim::Refuse(expected));
    },
    times_out_of_order_do_not_revive_a_ticket: |mut executor| {
        executor.table.expire(LIFETIME_US);
        let expected = unknown(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US - 1), Claim::Refuse(expected));
    },
    another_incarnation_or_executor_is_unknown: |mut executor| {
        let expected = unknown(RefusalReason::TicketExecutorGone);
        let incarnation = Incarnation(6);
        let older = Ticket { incarnation, ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&older, b"a", 0), Claim::Refuse(expected));
        let elsewhere = Ticket { executor: server("herd-2"), ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&elsewhere, b"a", 0), Claim::Refuse(expected));
    },
    another_service_or_serial_is_unknown: |mut executor| {
        let expected = unknown(RefusalReason::TicketInvalid);
        let parlour = Ticket { service: service("parlour"), ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&parlour, b"a", 0), Claim::Refuse(expected));
        let never_issued = Ticket { serial: 9, ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&never_issued, b"a", 0), Claim::Refuse(expected));
    },
    a_full_table_refuses_and_evicts_nothing: |mut executor| {
        executor.run(answered(5));
        executor.table.issue(&service("herd"), 10_000).unwrap();
        let full = executor.table.issue(&service("herd"), 10_000);
        let expected = refusal(RefusalReason::TicketsExhausted, RunState::NotRun, Some(990));
        assert_eq!(full, Err(expected));
        assert!(matches!(executor.claim(b"a", 10_000), Claim::Replay(_)));
        assert_eq!(executor.table.issue(&service("herd"), LIFETIME_US).unwrap().serial, 2);
    },
    a_running_request_outlives_its_ticket: |mut executor| {
        executor.claim(b"a", 0);
        executor.table.may_dispatch(0, 0);
        executor.table.expire(LIFETIME_US);
        assert_eq!(executor.table.next_expiry_us(), None);
        assert_eq!(executor.claim(b"a", LIFETIME_US), Claim::Join);
        executor.table.finish(0, answered(5), LIFETIME_US);
        assert_eq!(executor.table.next_expiry_us(), Some(LIFETIME_US));
        executor.table.expire(LIFETIME_US);
        assert_eq!(executor.table.counts().answer_bytes, 0);
    },
    a_long_answer_is_not_held: |mut executor| {
        executor.run(answered(SETTINGS.answer_bytes_max + 1));
        let expected = unknown(RefusalReason::AnswerNotHeld);
        assert_eq!(executor.claim(b"a", 0), Claim::Refuse(expected));
    },
    answers_are_bounded_in_total: |mut executor| {
        executor.run(answered(100));
        executor.ticket = executor.table.issue(&service("herd"), 0).unwrap();
        executor.run(answered(51));
        let expected = unknown(RefusalReason::AnswerNotHeld);
        assert_eq!(executor.claim(b"a", 0), Claim::Refuse(expected));
        assert_eq!(executor.table.counts().answer_bytes, 100);
    },
    an_unknown_outcome_may_become_known: |mut executor| {
        let lost = unknown(RefusalReason::ConnectionLost);
        executor.run(TicketOutcome::Unknown(lost));
        assert_eq!(executor.claim(b"a", 0), Claim::Refuse(lost));
        executor.table.finish(0, answered(1), 0);
        executor.table.finish(0, TicketOutcome::Unknown(lost), 0);
        assert!(matches!(executor.claim(b"a", 0), Claim::Replay(_)));
    },
    outcomes_fix_the_run_state: |mut executor| {
        executor.run(TicketOutcome::Unknown(not_run(RefusalReason::ConnectionLost)));
        let expected = refusal(RefusalReason::ConnectionLost, RunState::Unknown, Some(0));
        assert_eq!(executor.claim(b"a", 0), Claim::Refuse(expected));
    },
    counts_follow_the_tickets: |mut executor| {
        executor.run(answered(5));
        executor.ticket = executor.table.issue(&service("herd"), 0).unwrap();
        assert_eq!(executor.table.counts().unused, 1);
        executor.claim(b"a", 0);
        let counts = executor.table.counts();
        assert_eq!((counts.unused, counts.in_progress, counts.ended), (0, 1, 1));
    },
    only_the_executor_is_certain: |_| {
        let unreachable = not_run(RefusalReason::PeerUnreachable);
        assert_eq!(before_executor(unreachable).run_state, RunState::Unknown);
        assert_eq!(ticket_required(), not_run(RefusalReason::TicketRequired));
    },
}

fn key() -> TicketKey {
    TicketKey::from_secret("shared secret")
}

fn longest_ticket() -> Ticket {
    let name = "x".repeat(NAME_BYTES_MAX);
    Ticket {
        executor: server(&name),
        incarnation: Incarnation(u64::MAX),
        service: service(&name),
        serial: u64::MAX,
        expires_us: u64::MAX,
    }
}

#[test]
fn the_longest_ticket_survives_its_text_form() {
    let text = longest_ticket().encode(&key());
    assert_eq!(text.len(), TICKET_TEXT_BYTES_MAX);
    assert_eq!(Ticket::decode(&text, &key()), Ok(longest_ticket()));
}

macro_rules! bad_texts {
    ($($name:ident: $damage:expr => $error:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let damage: fn(String) -> String = $damage;
                let text = damage(longest_ticket().encode(&key()));
                assert_eq!(Ticket::decode(&text, &key()), Err($error));
            }
        )+
    };
}

bad_texts! {
    refuses_an_overlong_text: |text| text + "00" => TicketError::TooLong(TICKET_TEXT_BYTES_MAX + 2),
    refuses_half_a_byte: |text| text[1..].to_owned() => TicketError::NotHex,
    refuses_other_characters: |text| text.replace('f', "F") => TicketError::NotHex,
    refuses_an_empty_text: |_| String::new() => TicketError::TooShort,
    refuses_a_truncated_text: |text| text[2..].to_owned() => TicketError::Forged,
    refuses_another_key: |_| longest_ticket().encode(&TicketKey::from_secret("other"))
        => TicketError::Forged,
}

#[test]
fn refuses_every_changed_digit() {
    let text = longest_ticket().encode(&key());
    for index in 0..text.len() {
        let mut digits = text.clone().into_bytes();
        digits[index] = if digits[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(digits).unwrap();
        assert_eq!(
            Ticket::decode(&changed, &key()),
            Err(TicketError::Forged),
            "digit {index}"
        );
    }
}

#[test]
fn the_key_is_redacted() {
    assert_eq!(format!("{:?}", key()), "TicketKey(redacted)");
}

#[test]
fn every_part_changes_the_fingerprint() {
    let base = parts(b"ab");
    let branch = BranchName::new("asante").unwrap();
    let other = service("parlour");
    let changed = [
        FingerprintParts {
            service: &other,
            ..base
        },
        FingerprintParts {
            branch: &branch,
            ..base
        },
        FingerprintParts {
            method: "PUT",
            ..base
        },
        FingerprintParts {
            path: "/gates/5",
            ..base
        },
        FingerprintParts { key: None, ..base },
        FingerprintParts {
            key: Some(""),
            ..base
        },
        FingerprintParts {
            body: b"b",
            key: Some("cow-117a"),
            ..base
        },
    ];
    for parts in changed {
        assert_ne!(Fingerprint::of(parts), Fingerprint::of(base), "{parts:?}");
    }
    assert_eq!(Fingerprint::of(base), Fingerprint::of(parts(b"ab")));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_reader_panic(text in ".{0,500}") {
        prop_assert!(Ticket::decode(&text, &key()).is_err());
    }
}
