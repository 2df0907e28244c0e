//! Answers that turn out longer than a stopping node could know when it accepted their requests.

use standins::proxy::LinkState;

use crate::callers::Kind;
use crate::operator::route_timeout_ms;
use crate::site::GRACE_S;
use crate::stop_within_grace::{
    Asked, ENTRY, EXCUSED_FROM, HOSTS, Need, PEER, SETTLED_AFTER, ask, ask_during_stop,
};
use crate::stopping_hosts::Got;
use crate::system::System;

/// Requests to a stopping node, and what the node saw of such requests before.
#[derive(Debug, Clone, Copy)]
struct Late {
    /// Hosts that get SIGTERM, and when, in ms after the first.
    signals: &'static [(usize, u64)],
    link_bytes_per_s: u64,
    /// Requests before the stop, one after the other.
    usual: Need,
    usual_requests: usize,
    /// Requests after the SIGTERM.
    after: Need,
    requests: usize,
    /// Time of the first one in ms after the signal, and time between two.
    first_ms: u64,
    period_ms: u64,
    /// Requests that must get their answers.
    whole_min: usize,
}

const USUAL: Need = Need {
    kind: Kind::Bundle,
    work_ms: 210,
    body_bytes: 90_000,
};

/// More answers than the link passes before the node ends, each ten times as long at work as usual.
const DOWNLOADS: Late = Late {
    signals: &[(ENTRY, 0)],
    link_bytes_per_s: 1_250_000,
    usual: USUAL,
    usual_requests: 6,
    after: Need {
        work_ms: 2_100,
        body_bytes: 450_000,
        ..USUAL
    },
    requests: 6,
    first_ms: 2_000,
    period_ms: 130,
    whole_min: 2,
};

/// Requests as usual over a link that is wide enough, until the connections close.
const EARLY: Late = Late {
    link_bytes_per_s: 100_000_000,
    after: USUAL,
    requests: 24,
    first_ms: 100,
    period_ms: 100,
    whole_min: 24,
    ..DOWNLOADS
};

/// Whether the answer of a run was lost that was over in time, before the route's timeout.
fn is_lost(system: &System, asked: &Asked, signalled_ms: u64) -> bool {
    let excused_from_ms = signalled_ms + (GRACE_S * EXCUSED_FROM * 1_000.0) as u64;
    let runs = system.ledger.runs();
    let run = runs.iter().find(|run| run.request_id == asked.id);
    let is_over = run.is_some_and(|run| run.ended_ms.is_some_and(|ended| ended < excused_from_ms));
    let has_timed_out = asked.ended_ms - asked.sent_ms >= route_timeout_ms(Kind::Bundle);
    is_over && !has_timed_out && asked.got != Got::Whole
}

async fn assert_accepted_answers_arrive(late: Late) {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let link = LinkState::Narrow(late.link_bytes_per_s);
    system.sites[PEER].lock().await.peer_link.set_state(link);
    let node = system.sites[ENTRY].lock().await.addresses.callers();
    for index in 0..late.usual_requests {
        let asked = ask(&system, node, format!("usual-{index}"), late.usual).await;
        assert_eq!(asked.got, Got::Whole);
    }
    let pace = (late.first_ms, late.period_ms);
    let (signalled_ms, asked) =
        ask_during_stop(&system, node, late.signals, late.after, late.requests, pace).await;
    let signalled_ms = signalled_ms[0];
    let lost = asked
        .iter()
        .filter(|asked| is_lost(&system, asked, signalled_ms));
    let lost: Vec<_> = lost.collect();
    assert!(
        lost.is_empty(),
        "signal at {signalled_ms}: {lost:#?} of {asked:#?}"
    );
    let whole = asked.iter().filter(|asked| asked.got == Got::Whole).count();
    assert!(whole >= late.whole_min, "{whole} of {asked:#?}");
}

macro_rules! late_requests {
    ($($(#[$guard:meta])* $name:ident: $late:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_accepted_answers_arrive($late).await;
        }
    )*};
}

late_requests! {
    /// Guards against answers that are cut since nobody foresaw how long they would be.
    answers_that_are_longer_than_usual_arrive: DOWNLOADS;
    /// Guards against the same for requests that come at one moment.
    longer_answers_asked_for_at_once_arrive: Late { period_ms: 0, ..DOWNLOADS };
    /// Guards against the same where both hosts stop.
    longer_answers_between_stopping_hosts_arrive: Late { signals: &[(ENTRY, 0), (PEER, 0)], ..DOWNLOADS };
    /// Guards against the same where only the host stops that answers, which is the only one.
    longer_answers_of_a_stopping_host_arrive: Late { signals: &[(PEER, 0)], ..DOWNLOADS };
    /// Guards against the same on a route that was never answered.
    answers_of_a_route_that_was_never_answered_arrive: Late {
        usual_requests: 0, whole_min: 1, ..DOWNLOADS
    };
    /// Guards against the same for longer answers over a faster link.
    longer_answers_over_a_faster_link_arrive: Late {
        link_bytes_per_s: 2_500_000,
        usual: Need { body_bytes: 180_000, ..USUAL },
        after: Need { work_ms: 1_900, body_bytes: 950_000, ..USUAL },
        period_ms: 90,
        ..DOWNLOADS
    };
    /// Guards against the same for many requests right before the connections close.
    many_longer_answers_asked_for_at_the_last_moment_arrive: Late {
        requests: 16, first_ms: 2_300, period_ms: 25, whole_min: 1, ..DOWNLOADS
    };
    /// Guards against a stop that refuses what it could serve.
    requests_as_usual_are_answered_until_the_close: EARLY;
    /// Guards against the same where both hosts stop.
    requests_as_usual_are_answered_by_stopping_hosts: Late { signals: &[(ENTRY, 0), (PEER, 0)], ..EARLY };
}
