//! The backend server misbehaves as told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use standins::backend_server::{
    AnnouncedState, Announcement, BackendServer, BackendServerSettings, BehaviourChange,
    HealthHonesty, HealthReport, HealthStatus, LoadSample, NOT_RUN_HEADER, REQUEST_ID_HEADER,
};
use standins::http::answer::{Answer, ConnectionCut, json};
use standins::http::client::ClientStep;
use standins::http::listener::{Handler, HttpListener};

use crate::support::{
    ENDLESS_US, ask, cases, eventually, get, get_with, loopback, start, try_ask, warm, witness,
};

/// Pairs of requests tried until two answers cross.
const CROSSING_TRIES: u32 = 50;

/// Node that remembers announcements.
#[derive(Debug, Default)]
struct RecordingNode {
    announced: Mutex<Vec<Announcement>>,
}

impl RecordingNode {
    fn has(&self, wanted: impl Fn(&Announcement) -> bool) -> bool {
        self.announced.lock().expect("lock").iter().any(wanted)
    }

    fn first(&self) -> Announcement {
        self.announced.lock().expect("lock")[0].clone()
    }
}

impl Handler for RecordingNode {
    type Connection = ();

    fn connection_opened(&self) {}

    async fn connection_cut((): &()) {
        std::future::pending::<()>().await;
    }

    async fn answer(
        self: Arc<Self>,
        _connection: Arc<()>,
        request: Request<Incoming>,
    ) -> Result<Answer, ConnectionCut> {
        assert_eq!(request.uri().path(), "/announce");
        let body = request
            .into_body()
            .collect()
            .await
            .expect("body")
            .to_bytes();
        let announcement = serde_json::from_slice(&body).expect("announcement");
        self.announced.lock().expect("lock").push(announcement);
        Ok(json(StatusCode::OK, &()))
    }
}

fn behave(server: &BackendServer, change: BehaviourChange) {
    server.change_behaviour(change);
}

fn change() -> BehaviourChange {
    BehaviourChange::default()
}

async fn health(server: SocketAddr) -> HealthStatus {
    let answer = ask(server, get("/-/health")).await;
    let report: HealthReport = serde_json::from_slice(&answer.body).expect("health");
    report.status
}

async fn load(server: SocketAddr) -> LoadSample {
    let answer = ask(server, get("/-/load")).await;
    serde_json::from_slice(&answer.body).expect("load")
}

/// Ids echoed to two requests that run at once.
async fn echoed_ids(server: SocketAddr) -> (String, String) {
    let echoed = async |id| {
        let answer = ask(server, get_with("/x", REQUEST_ID_HEADER, id)).await;
        answer.headers[REQUEST_ID_HEADER]
            .to_str()
            .expect("text")
            .to_owned()
    };
    tokio::join!(echoed("a"), echoed("b"))
}

cases! {
    announcements_follow_state_and_restart => {
        let node = Arc::new(RecordingNode::default());
        let listener = HttpListener::start(loopback(), Arc::clone(&node)).await.expect("listens");
        let announce = Some(listener.address());
        let server = start(BackendServerSettings { announce, ..warm() }).await;
        eventually("announced", || node.has(|_| true)).await;
        let first = node.first();
        assert_eq!((first.service.as_str(), first.address), ("herd", server.address()));
        assert_eq!((first.state, first.echoes_request_id), (AnnouncedState::Up, true));
        behave(&server, BehaviourChange { cold_restart: true, ..change() });
        eventually("new boot", || node.has(|seen| seen.boot_id != first.boot_id)).await;
        assert!(!node.has(|seen| seen.state == AnnouncedState::Leaving));
        server.stop().await;
        assert!(node.has(|seen| seen.state == AnnouncedState::Leaving));
        listener.stop().await;
    }

    run_after_leaving_is_counted => {
        let server = start(warm()).await;
        ask(server.address(), get("/x")).await;
        assert!(!witness(&server).ran_after_leaving);
        behave(&server, BehaviourChange { drain: Some(true), ..change() });
        ask(server.address(), get("/x")).await;
        assert_eq!(witness(&server).runs_after_leaving, 1);
        assert_eq!(health(server.address()).await, HealthStatus::Leaving);
        server.stop().await;
    }

    reports_are_honest_lagging_or_lying => {
        let busy = BackendServerSettings {
            service_time_us: ENDLESS_US,
            report_lag_ms: 3_600_000,
            ..warm()
        };
        let server = start(busy).await;
        let address = server.address();
        let running = tokio::spawn(try_ask(address, get("/x")));
        eventually("request runs", || witness(&server).runs == 1).await;
        assert_eq!(load(address).await.in_flight, 1);
        for health in [HealthHonesty::Lagging, HealthHonesty::Lying] {
            behave(&server, BehaviourChange { health: Some(health), ..change() });
            assert_eq!(load(address).await.in_flight, 0);
        }
        behave(&server, BehaviourChange { drain: Some(true), ..change() });
        assert_eq!(health(address).await, HealthStatus::Ok);
        assert_eq!((witness(&server).load_probes, witness(&server).health_probes), (3, 1));
        running.abort();
        server.crash().await;
    }

    fail_fast_counts_as_run => {
        let server = start(warm()).await;
        behave(&server, BehaviourChange { fail_fast: Some(true), ..change() });
        let answer = ask(server.address(), get("/x")).await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert!(!answer.headers.contains_key(NOT_RUN_HEADER));
        let seen = witness(&server);
        assert_eq!((seen.runs, seen.failed_fast, seen.cancelled), (1, 1, 0));
        server.stop().await;
    }

    shedding_never_runs => {
        let server = start(warm()).await;
        behave(&server, BehaviourChange { shed_percent: Some(100), ..change() });
        let answer = ask(server.address(), get("/x")).await;
        assert_eq!(answer.headers[NOT_RUN_HEADER], "1");
        assert_eq!((witness(&server).runs, witness(&server).shed), (0, 1));
        server.stop().await;
    }

    truncated_answer_breaks_off => {
        let server = start(warm()).await;
        behave(&server, BehaviourChange { truncate_answers_percent: Some(100), ..change() });
        let lost = try_ask(server.address(), get("/x?answer_bytes=5000")).await;
        assert_eq!(lost.expect_err("no whole answer").step, ClientStep::Body);
        assert_eq!((witness(&server).runs, witness(&server).truncated), (1, 1));
        server.stop().await;
    }

    crossed_answers_belong_to_each_other => {
        let server = start(warm()).await;
        behave(&server, BehaviourChange { crossed_answers_percent: Some(100), ..change() });
        for _ in 0..CROSSING_TRIES {
            let echoed = echoed_ids(server.address()).await;
            if witness(&server).crossed > 0 {
                assert_eq!(echoed, ("b".to_owned(), "a".to_owned()));
                assert_eq!(witness(&server).crossed, 2);
                return server.stop().await;
            }
            assert_eq!(echoed, ("a".to_owned(), "b".to_owned()));
        }
        panic!("no answers crossed");
    }

    late_answer_holds_no_slot => {
        let server = start(warm()).await;
        behave(&server, BehaviourChange { late_answers_ms: Some(3_600_000), ..change() });
        let waiting = tokio::spawn(try_ask(server.address(), get("/x")));
        eventually("request ran", || witness(&server).runs == 1).await;
        eventually("slot is free", || witness(&server).in_flight == 0).await;
        assert!(!waiting.is_finished());
        waiting.abort();
        server.crash().await;
    }
}
