//! The oracle finds each kind of broken promise and no other.

use standins::backend_server::{KeyRuns, RequestRuns, Witness};
use standins::load::{Claim, RequestClaim};
use standins::oracle::{Violation, violations};

const ID: &str = "r1";
const KEY: &str = "k1";

fn claim(claim: Claim) -> RequestClaim {
    let idempotency_key = Some(KEY.to_owned());
    RequestClaim {
        request_id: ID.to_owned(),
        idempotency_key,
        claim,
    }
}

/// Witness of a server that ran the request and its key this often.
fn ran(runs: u32) -> Witness {
    if runs == 0 {
        return Witness::default();
    }
    Witness {
        runs_by_request: vec![RequestRuns {
            request_id: ID.to_owned(),
            runs,
        }],
        runs_by_key: vec![KeyRuns {
            idempotency_key: KEY.to_owned(),
            runs,
        }],
        ..Witness::default()
    }
}

fn ran_twice() -> Violation {
    Violation::KeyRanTwice {
        idempotency_key: KEY.to_owned(),
        runs: 2,
    }
}

fn refused_and_ran() -> Violation {
    Violation::RefusedAndRan {
        request_id: ID.to_owned(),
        runs: 1,
    }
}

fn answered_without_run() -> Violation {
    Violation::AnsweredWithoutRun {
        request_id: ID.to_owned(),
    }
}

/// Names each case: claim, runs per server, violations.
macro_rules! oracle_cases {
    ($($name:ident: $claim:expr, $runs:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let witnesses: Vec<Witness> = $runs.into_iter().map(ran).collect();
                let expected: Vec<Violation> = $expected.into();
                assert_eq!(violations(&[claim($claim)], &witnesses), expected);
            }
        )+
    };
}

oracle_cases! {
    answered_and_ran_once: Claim::Done, [1, 0] => [];
    answered_and_ran_nowhere: Claim::Done, [0, 0] => [answered_without_run()];
    refused_and_ran_nowhere: Claim::NotRun, [0, 0] => [];
    refused_but_ran: Claim::NotRun, [0, 1] => [refused_and_ran()];
    unknown_and_ran_nowhere: Claim::Unknown, [0] => [];
    unknown_and_ran_once: Claim::Unknown, [1] => [];
    ran_on_two_servers: Claim::Unknown, [1, 1] => [ran_twice()];
    ran_twice_on_one_server: Claim::Done, [2] => [ran_twice()];
}
