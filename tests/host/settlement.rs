//! What the word of a host means on a request that was sent to it before.

use bronzelock::decision::host::settlement::{FirstConnection, Settlement};
use bronzelock::model::reasons::{RefusalReason, RunState};
use bronzelock::model::request::Effect;

use crate::cases;

fn is_judged(
    effect: Effect,
    first: FirstConnection,
    (reason, run_state): (RefusalReason, RunState),
    expected: Settlement,
) {
    assert_eq!(
        Settlement::of_failure(effect, first, reason, run_state),
        expected
    );
}

const BLOCKED: (RefusalReason, RunState) = (RefusalReason::Cancelled, RunState::NotRun);
const NOT_HELD: (RefusalReason, RunState) = (RefusalReason::AnswerNotHeld, RunState::Unknown);
const NOT_KNOWN: (RefusalReason, RunState) = (RefusalReason::ConnectionLost, RunState::Unknown);
const SHED: (RefusalReason, RunState) = (RefusalReason::ServerShed, RunState::NotRun);

cases! { is_judged:
    a_blocked_request_has_not_run(
        Effect::NonIdempotent, FirstConnection::Silent, BLOCKED, Settlement::Final);
    /// An earlier release blocks an idempotent request that is running.
    an_idempotent_request_is_not_believed_to_be_blocked(
        Effect::Idempotent, FirstConnection::Ended, BLOCKED, Settlement::Unknown);
    /// The earlier release may be running it, and its connection is open.
    an_idempotent_request_that_is_said_to_be_blocked_is_awaited(
        Effect::Idempotent, FirstConnection::Silent, BLOCKED, Settlement::AwaitFirst);
    /// A host that has restarted may run it, though asked for its run of before.
    a_request_that_the_host_does_not_know_is_awaited(
        Effect::NonIdempotent, FirstConnection::Silent, NOT_KNOWN, Settlement::AwaitFirst);
    an_answer_on_its_way_is_awaited(
        Effect::Idempotent, FirstConnection::Silent, NOT_HELD, Settlement::AwaitFirst);
    an_answer_on_a_connection_that_has_ended_is_lost(
        Effect::NonIdempotent, FirstConnection::Ended, NOT_HELD, Settlement::Unknown);
    a_refusal_of_the_backend_server_is_passed_on(
        Effect::Idempotent, FirstConnection::Ended, SHED, Settlement::Final);
}
