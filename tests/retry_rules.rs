//! Which requests may be retried, and how much work retries add.

#[path = "support/cases.rs"]
mod cases;

use bronzelock::decision::retry::{RetryBudget, RetryContext, RetrySettings, may_retry};
use bronzelock::model::reasons::{RefusalReason, RetryReason, RunState};
use bronzelock::model::request::Effect;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const REFUSED_BY_GATE: RetryContext = RetryContext {
    effect: Effect::Idempotent,
    run_state: RunState::NotRun,
    hops: 1,
    hops_max: 3,
    retry_allowed_by_caller: true,
    deadline_left_us: 1_000,
    reason: RetryReason::GateRefused,
};

const CONNECTION_LOST: RetryContext = RetryContext {
    run_state: RunState::Unknown,
    reason: RetryReason::ConnectionLost,
    ..REFUSED_BY_GATE
};

fn budget(burst: u32) -> RetryBudget {
    RetryBudget::new(RetrySettings {
        percent_of_requests: 10,
        burst,
        hops_max: 3,
    })
}

fn check_retry_decision(ctx: RetryContext, burst: u32, expected: Result<(), RefusalReason>) {
    assert_eq!(may_retry(ctx, &mut budget(burst)), expected);
}

cases! {
    check_retry_decision:
    gate_refusal_needs_no_budget(REFUSED_BY_GATE, 0, Ok(()));
    unreachable_peer_needs_no_budget(
        RetryContext { reason: RetryReason::PeerUnreachable, ..REFUSED_BY_GATE }, 0, Ok(()));
    gate_refusal_of_non_idempotent_work_is_retried(
        RetryContext { effect: Effect::NonIdempotent, ..REFUSED_BY_GATE }, 0, Ok(()));
    hops_are_bounded(
        RetryContext { hops: 3, ..REFUSED_BY_GATE }, 9, Err(RefusalReason::HopsExhausted));
    no_retry_after_the_deadline(
        RetryContext { deadline_left_us: 0, ..REFUSED_BY_GATE }, 9,
        Err(RefusalReason::DeadlineLapsed));
    shed_request_needs_budget(
        RetryContext { reason: RetryReason::ServerShed, ..REFUSED_BY_GATE }, 0,
        Err(RefusalReason::RetryBudgetSpent));
    idempotent_work_is_retried_after_a_lost_connection(CONNECTION_LOST, 1, Ok(()));
    idempotent_work_needs_budget_after_a_lost_connection(
        CONNECTION_LOST, 0, Err(RefusalReason::RetryBudgetSpent));
    retry_is_left_to_another_layer(
        RetryContext { retry_allowed_by_caller: false, ..CONNECTION_LOST }, 9,
        Err(RefusalReason::ConnectionLost));
}

#[test]
fn non_idempotent_work_is_not_retried_after_a_possible_run() {
    for reason in RetryReason::ALL {
        for hops in 0..4 {
            let ctx = RetryContext {
                effect: Effect::NonIdempotent,
                run_state: RunState::Unknown,
                reason: *reason,
                hops,
                ..REFUSED_BY_GATE
            };
            let mut budget = budget(1);
            assert!(may_retry(ctx, &mut budget).is_err(), "{ctx:?}");
            assert!(budget.withdraw(), "the budget was charged");
        }
    }
}

#[test]
fn budget_earns_a_tenth_of_requests_up_to_its_burst() {
    let mut budget = budget(2);
    while budget.withdraw() {}
    for _ in 0..9 {
        budget.deposit();
    }
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
    for _ in 0..1_000 {
        budget.deposit();
    }
    let retries = std::iter::from_fn(|| budget.withdraw().then_some(())).count();
    assert_eq!(retries, 2);
}

/// Chain of layers that call each other; each has its own budget and fails a fifth of its runs.
struct CallChain {
    budgets: Vec<RetryBudget>,
    rng: StdRng,
    calls: u64,
    runs: u64,
}

/// Failed answer of a layer, with whether the layers above may still retry.
struct CallFailure {
    retry_allowed_above: bool,
}

impl CallChain {
    fn call(&mut self, layer: usize) -> Result<(), CallFailure> {
        self.budgets[layer].deposit();
        self.calls += 1;
        let mut hops = 0;
        loop {
            hops += 1;
            let Err(failed) = self.run(layer) else {
                return Ok(());
            };
            let ctx = RetryContext {
                hops,
                retry_allowed_by_caller: failed.retry_allowed_above,
                reason: RetryReason::ServerFailed,
                ..CONNECTION_LOST
            };
            if may_retry(ctx, &mut self.budgets[layer]).is_err() {
                return Err(CallFailure {
                    retry_allowed_above: false,
                });
            }
        }
    }

    /// Runs a request at a layer, which fails by itself or calls the layer below.
    fn run(&mut self, layer: usize) -> Result<(), CallFailure> {
        self.runs += 1;
        if self.rng.random_ratio(1, 5) {
            return Err(CallFailure {
                retry_allowed_above: true,
            });
        }
        if layer + 1 == self.budgets.len() {
            return Ok(());
        }
        self.call(layer + 1)
    }
}

#[test]
fn retries_add_less_than_a_fifth_at_call_depth_13() {
    let mut chain = CallChain {
        budgets: vec![budget(20); 13],
        rng: StdRng::seed_from_u64(5),
        calls: 0,
        runs: 0,
    };
    for _ in 0..20_000 {
        let runs_before = chain.runs;
        let _outcome = chain.call(0);
        let runs = chain.runs - runs_before;
        assert!(runs <= 3 * 13, "one call made {runs} runs");
    }
    let ratio = chain.runs as f64 / chain.calls as f64;
    assert!(
        ratio > 1.05,
        "runs are only {ratio:.3} of the calls: too few retries"
    );
    assert!(ratio < 1.2, "runs are {ratio:.3} of the calls");
}
