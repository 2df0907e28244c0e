//! Tests of the ticket table, ticket encoding and request fingerprint.

use std::sync::Arc;

use bronzelock::decision::ticket::{
    ClaimDecision, Fingerprint, FingerprintParts, StoredAnswer, TICKET_TEXT_BYTES_MAX, Ticket,
    TicketError, TicketKey, TicketOutcome, TicketTable, TicketTableSettings, ticket_required,
    with_unknown_run_state,
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

/// Ticket table with its first ticket, issued at time 0.
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

    fn claim(&mut self, body: &[u8], now_us: u64) -> ClaimDecision {
        self.claim_as(&self.ticket.clone(), body, now_us)
    }

    fn claim_as(&mut self, ticket: &Ticket, body: &[u8], now_us: u64) -> ClaimDecision {
        self.table
            .claim(ticket, &service("herd"), fingerprint(body), now_us)
    }

    fn run_request(&mut self, outcome: TicketOutcome) {
        assert_eq!(self.claim(b"a", 0), ClaimDecision::Run);
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
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Run);
        assert_eq!(executor.claim(b"a", 1), ClaimDecision::Join);
        assert!(executor.table.may_dispatch(0, 2));
        assert_eq!(executor.claim(b"a", 3), ClaimDecision::Join);
        executor.table.finish(0, answered(5), 4);
        assert!(matches!(
            executor.claim(b"a", 5),
            ClaimDecision::Replay(answer) if answer.body.len() == 5
        ));
    },
    a_dispatch_is_allowed_once: |mut executor| {
        assert!(!executor.table.may_dispatch(0, 0), "not claimed");
        executor.claim(b"a", 0);
        assert!(executor.table.may_dispatch(0, 0));
        assert!(!executor.table.may_dispatch(0, 0));
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Join, "the request is still running");
    },
    a_dispatch_after_expiry_is_refused_and_recorded: |mut executor| {
        executor.claim(b"a", 0);
        assert!(!executor.table.may_dispatch(0, LIFETIME_US));
        let expected = not_run(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), ClaimDecision::Refuse(expected));
    },
    a_not_run_outcome_is_final: |mut executor| {
        executor.claim(b"a", 0);
        let recorded = refusal(RefusalReason::QueueFull, RunState::NotRun, Some(40));
        executor.table.finish(0, TicketOutcome::NotRun(recorded), 0);
        executor.table.finish(0, answered(1), 0);
        assert_eq!(executor.claim(b"a", LIFETIME_US - 1), ClaimDecision::Refuse(recorded));
        assert!(!executor.table.may_dispatch(0, 0));
    },
    reuse_is_unknown_while_the_first_request_may_run: |mut executor| {
        executor.claim(b"a", 0);
        let expected = unknown(RefusalReason::TicketReused);
        assert_eq!(executor.claim(b"b", 0), ClaimDecision::Refuse(expected));
    },
    reuse_is_not_run_once_the_first_request_is_not_run: |mut executor| {
        executor.claim(b"a", 0);
        let recorded = not_run(RefusalReason::QueueFull);
        executor.table.finish(0, TicketOutcome::NotRun(recorded), 0);
        let expected = not_run(RefusalReason::TicketReused);
        assert_eq!(executor.claim(b"b", 0), ClaimDecision::Refuse(expected));
    },
    an_unused_ticket_expires_as_not_run_until_removed: |mut executor| {
        let expected = not_run(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), ClaimDecision::Refuse(expected));
        executor.table.expire(LIFETIME_US);
        let expected = unknown(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US), ClaimDecision::Refuse(expected));
    },
    times_out_of_order_do_not_revive_a_ticket: |mut executor| {
        executor.table.expire(LIFETIME_US);
        let expected = unknown(RefusalReason::TicketExpired);
        assert_eq!(executor.claim(b"a", LIFETIME_US - 1), ClaimDecision::Refuse(expected));
    },
    a_ticket_of_another_incarnation_or_executor_is_unknown: |mut executor| {
        let expected = unknown(RefusalReason::TicketExecutorGone);
        let incarnation = Incarnation(6);
        let previous = Ticket { incarnation, ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&previous, b"a", 0), ClaimDecision::Refuse(expected));
        let other_executor = Ticket { executor: server("herd-2"), ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&other_executor, b"a", 0), ClaimDecision::Refuse(expected));
    },
    a_ticket_for_another_service_or_serial_is_invalid: |mut executor| {
        let expected = unknown(RefusalReason::TicketInvalid);
        let other_service = Ticket { service: service("parlour"), ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&other_service, b"a", 0), ClaimDecision::Refuse(expected));
        let unissued = Ticket { serial: 9, ..executor.ticket.clone() };
        assert_eq!(executor.claim_as(&unissued, b"a", 0), ClaimDecision::Refuse(expected));
    },
    a_full_table_refuses_and_evicts_nothing: |mut executor| {
        executor.run_request(answered(5));
        executor.table.issue(&service("herd"), 10_000).unwrap();
        let result = executor.table.issue(&service("herd"), 10_000);
        let expected = refusal(RefusalReason::TicketsExhausted, RunState::NotRun, Some(990));
        assert_eq!(result, Err(expected));
        assert!(matches!(executor.claim(b"a", 10_000), ClaimDecision::Replay(_)));
        assert_eq!(executor.table.issue(&service("herd"), LIFETIME_US).unwrap().serial, 2);
    },
    a_running_request_outlives_its_ticket: |mut executor| {
        executor.claim(b"a", 0);
        executor.table.may_dispatch(0, 0);
        executor.table.expire(LIFETIME_US);
        assert_eq!(executor.table.next_expiry_us(), None);
        assert_eq!(executor.claim(b"a", LIFETIME_US), ClaimDecision::Join);
        executor.table.finish(0, answered(5), LIFETIME_US);
        assert_eq!(executor.table.next_expiry_us(), Some(LIFETIME_US));
        executor.table.expire(LIFETIME_US);
        assert_eq!(executor.table.counts().answer_bytes, 0);
    },
    a_long_answer_is_not_held: |mut executor| {
        executor.run_request(answered(SETTINGS.answer_bytes_max + 1));
        let expected = unknown(RefusalReason::AnswerNotHeld);
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Refuse(expected));
    },
    answers_are_bounded_in_total: |mut executor| {
        executor.run_request(answered(100));
        executor.ticket = executor.table.issue(&service("herd"), 0).unwrap();
        executor.run_request(answered(51));
        let expected = unknown(RefusalReason::AnswerNotHeld);
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Refuse(expected));
        assert_eq!(executor.table.counts().answer_bytes, 100);
    },
    an_unknown_outcome_may_become_known: |mut executor| {
        let lost = unknown(RefusalReason::ConnectionLost);
        executor.run_request(TicketOutcome::Unknown(lost));
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Refuse(lost));
        executor.table.finish(0, answered(1), 0);
        executor.table.finish(0, TicketOutcome::Unknown(lost), 0);
        assert!(matches!(executor.claim(b"a", 0), ClaimDecision::Replay(_)));
    },
    outcomes_determine_the_run_state: |mut executor| {
        executor.run_request(TicketOutcome::Unknown(not_run(RefusalReason::ConnectionLost)));
        let expected = refusal(RefusalReason::ConnectionLost, RunState::Unknown, Some(0));
        assert_eq!(executor.claim(b"a", 0), ClaimDecision::Refuse(expected));
    },
    counts_follow_the_tickets: |mut executor| {
        executor.run_request(answered(5));
        executor.ticket = executor.table.issue(&service("herd"), 0).unwrap();
        assert_eq!(executor.table.counts().unused, 1);
        executor.claim(b"a", 0);
        let counts = executor.table.counts();
        assert_eq!((counts.unused, counts.in_progress, counts.ended), (0, 1, 1));
    },
    only_the_executor_reports_not_run: |_| {
        let unreachable = not_run(RefusalReason::PeerUnreachable);
        assert_eq!(with_unknown_run_state(unreachable).run_state, RunState::Unknown);
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
fn the_longest_ticket_round_trips() {
    let text = longest_ticket().encode(&key());
    assert_eq!(text.len(), TICKET_TEXT_BYTES_MAX);
    assert_eq!(Ticket::decode(&text, &key()), Ok(longest_ticket()));
}

macro_rules! rejected_texts {
    ($($name:ident: $alter:expr => $error:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let alter: fn(String) -> String = $alter;
                let text = alter(longest_ticket().encode(&key()));
                assert_eq!(Ticket::decode(&text, &key()), Err($error));
            }
        )+
    };
}

rejected_texts! {
    refuses_an_overlong_text: |text| text + "00" => TicketError::TooLong(TICKET_TEXT_BYTES_MAX + 2),
    refuses_an_odd_number_of_digits: |text| text[1..].to_owned() => TicketError::NotHex,
    refuses_upper_case_digits: |text| text.replace('f', "F") => TicketError::NotHex,
    refuses_an_empty_text: |_| String::new() => TicketError::TooShort,
    refuses_a_truncated_text: |text| text[2..].to_owned() => TicketError::AuthenticationFailed,
    refuses_another_key: |_| longest_ticket().encode(&TicketKey::from_secret("other"))
        => TicketError::AuthenticationFailed,
}

#[test]
fn refuses_every_changed_digit() {
    let text = longest_ticket().encode(&key());
    for index in 0..text.len() {
        let mut digits = text.clone().into_bytes();
        digits[index] = if digits[index] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(digits).unwrap();
        assert_eq!(
            Ticket::decode(&altered, &key()),
            Err(TicketError::AuthenticationFailed),
            "digit {index}"
        );
    }
}

#[test]
fn debug_output_redacts_the_key() {
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
    fn decoding_rejects_arbitrary_text(text in ".{0,500}") {
        prop_assert!(Ticket::decode(&text, &key()).is_err());
    }
}
