//! The load generator sends what it is set to send and counts every outcome.

use standins::backend_server::{BackendServer, BackendServerSettings, BehaviourChange};
use standins::http::client::ClientStep;
use standins::load::{
    ArrivalSpacing, Burst, BurstError, Claim, LoadError, LoadReport, LoadSettings, RequestKind,
    Route, run,
};

use crate::support::{ENDLESS_US, cases, eventually, start, warm, witness};

/// Requests of an even run of one second, without the one at its end.
const EVEN_REQUESTS: u64 = 99;

fn straight(server: &BackendServer) -> LoadSettings {
    LoadSettings {
        targets: vec![server.address()],
        route: Route::StraightToServer,
        kinds: vec![RequestKind::get(
            "/herd/cows/7?answer_bytes=500",
            "srisawat",
        )],
        rate_per_s: 100.0,
        duration_ms: 1_000,
        spacing: ArrivalSpacing::Even,
        timeout_ms: 20_000,
        connections: 8,
        records_claims: true,
        ..LoadSettings::default()
    }
}

async fn run_well(settings: &LoadSettings) -> LoadReport {
    run(settings).await.expect("run ends")
}

fn unmeasured() -> LoadSettings {
    let kinds = vec![RequestKind::get("/x", "b")];
    LoadSettings {
        targets: vec![([127, 0, 0, 1], 9).into()],
        kinds,
        ..LoadSettings::default()
    }
}

cases! {
    every_request_is_sent_run_and_answered_once => {
        let server = start(warm()).await;
        let report = run_well(&straight(&server)).await;
        let all = &report.overall;
        assert_eq!((all.sent, all.answered), (EVEN_REQUESTS, EVEN_REQUESTS));
        assert_eq!((all.latency.count, all.wrong_answers), (EVEN_REQUESTS, 0));
        assert_eq!(all.served_by[0].server, "herd-1");
        assert_eq!(all.seconds.iter().map(|second| second.sent).sum::<u64>(), EVEN_REQUESTS);
        let seen = witness(&server);
        assert_eq!((seen.runs, seen.requests_repeated), (EVEN_REQUESTS, 0));
        assert_eq!(standins::oracle::violations(&report.claims, &[seen]), []);
        server.stop().await;
    }

    same_seed_gives_the_same_mix => {
        let server = start(warm()).await;
        let mut settings = straight(&server);
        settings.spacing = ArrivalSpacing::Poisson;
        settings.kinds.push(RequestKind { weight: 3, ..RequestKind::get("/other", "srisawat") });
        let sent = async || {
            let report = run_well(&settings).await;
            report.kinds.iter().map(|kind| kind.sent).collect::<Vec<_>>()
        };
        let first = sent().await;
        assert_eq!(first, sent().await);
        assert!(first[0] > 0 && first[1] > first[0]);
        server.stop().await;
    }

    burst_sends_more => {
        let server = start(warm()).await;
        let mut settings = straight(&server);
        settings.bursts = vec![Burst { at_ms: 0, for_ms: 500, factor: 5.0 }];
        let report = run_well(&settings).await;
        assert!((290..=310).contains(&report.overall.sent), "{}", report.overall.sent);
        server.stop().await;
    }

    crossed_answers_are_wrong => {
        let server = start(BackendServerSettings { service_time_us: 5_000, ..warm() }).await;
        let crossed_answers_percent = Some(100);
        let change = BehaviourChange { crossed_answers_percent, ..BehaviourChange::default() };
        server.change_behaviour(change);
        let report = run_well(&straight(&server)).await;
        let all = &report.overall;
        assert!(all.foreign_ids > 0);
        assert_eq!(all.foreign_ids, witness(&server).crossed);
        assert_eq!(all.answered + all.foreign_ids, EVEN_REQUESTS);
        server.stop().await;
    }

    shed_requests_are_refused_by_status => {
        let server = start(warm()).await;
        let change = BehaviourChange { shed_percent: Some(100), ..BehaviourChange::default() };
        server.change_behaviour(change);
        let report = run_well(&straight(&server)).await;
        let status = report.overall.by_status[0];
        assert_eq!((status.status, status.count), (503, EVEN_REQUESTS));
        assert_eq!((report.overall.answered, report.overall.refusal_latency.count), (0, 99));
        server.stop().await;
    }

    unanswered_requests_time_out_as_unknown => {
        let endless = BackendServerSettings { service_time_us: ENDLESS_US, slots: 1_000, ..warm() };
        let server = start(endless).await;
        let late_answers_ms = Some(3_600_000);
        let change = BehaviourChange { late_answers_ms, ..BehaviourChange::default() };
        server.change_behaviour(change);
        let report = run_well(&LoadSettings { timeout_ms: 50, ..straight(&server) }).await;
        assert_eq!((report.overall.sent, report.overall.timed_out), (EVEN_REQUESTS, EVEN_REQUESTS));
        assert!(report.claims.iter().all(|claim| claim.claim == Claim::Unknown));
        server.stop().await;
    }

    latency_begins_at_the_intended_time => {
        let service_time_us = 100_000;
        let server = start(BackendServerSettings { service_time_us, ..warm() }).await;
        let settings = LoadSettings { connections: 1, duration_ms: 100, ..straight(&server) };
        let report = run_well(&settings).await;
        // One connection bears a request in 100 ms, nine are meant within 100 ms: the last one
        // ends no sooner than 800 ms after its time, however fast the machine is.
        assert_eq!(report.overall.answered, 9);
        assert!(report.overall.latency.max_us >= 7 * service_time_us);
        server.stop().await;
    }

    target_that_stops_moves_callers_on => {
        let leaving = start(warm()).await;
        let staying = start(BackendServerSettings { name: "herd-2".to_owned(), ..warm() }).await;
        let mut settings = straight(&leaving);
        settings.targets.push(staying.address());
        let stopping = async {
            eventually("some were answered", || witness(&leaving).runs > 5).await;
            leaving.stop().await;
        };
        let (report, ()) = tokio::join!(run_well(&settings), stopping);
        // A request may meet the closing of its connection, which no caller can tell from a loss.
        let lost: u64 = report.overall.lost.iter().map(|lost| lost.count).sum();
        assert_eq!(report.overall.answered + lost, EVEN_REQUESTS);
        assert!(lost <= 1, "{lost} lost");
        assert!(report.overall.lost.iter().all(|lost| lost.step == ClientStep::Head));
        assert!(report.overall.moved > 0);
        staying.stop().await;
    }

    one_kind_may_go_straight_to_a_server => {
        let near = start(warm()).await;
        let far = start(BackendServerSettings { name: "herd-2".to_owned(), ..warm() }).await;
        let mut settings = straight(&near);
        let straight_to = Some(far.address());
        settings.kinds.push(RequestKind { straight_to, ..RequestKind::get("/x", "srisawat") });
        let report = run_well(&settings).await;
        let ran = [witness(&near).runs, witness(&far).runs];
        assert_eq!(ran.to_vec(), report.kinds.iter().map(|kind| kind.answered).collect::<Vec<_>>());
        assert!(ran[1] > 0);
        near.stop().await;
        far.stop().await;
    }
}

/// Names each refused setting.
macro_rules! refused {
    ($($name:ident: $settings:expr => $error:pat,)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let error = run(&$settings).await.expect_err("refused");
                assert!(matches!(error, $error), "{error:?}");
            }
        )+
    };
}

refused! {
    no_target: LoadSettings { targets: vec![], ..unmeasured() } => LoadError::NoTarget,
    no_rate: LoadSettings { rate_per_s: 0.0, ..unmeasured() } => LoadError::NoRate,
    no_kind: LoadSettings { kinds: vec![], ..unmeasured() } => LoadError::NoKind,
    bad_path: LoadSettings { kinds: vec![RequestKind::get("x", "b")], ..unmeasured() }
        => LoadError::BadPath(_),
    bad_branch: LoadSettings { kinds: vec![RequestKind::get("/x", "b\n")], ..unmeasured() }
        => LoadError::BadHeader(_),
}

/// Names each text of a burst.
macro_rules! bursts {
    ($($name:ident: $text:literal => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<Burst>(), $expected);
            }
        )+
    };
}

bursts! {
    burst_reads: "2000:200:5" => Ok(Burst { at_ms: 2000, for_ms: 200, factor: 5.0 });
    burst_without_factor: "2000:200" => Err(BurstError::Shape);
    burst_of_factor_zero: "2000:200:0" => Err(BurstError::Factor);
}
