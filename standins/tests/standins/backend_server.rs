//! The backend server bears what it is set to bear and counts exactly.

use hyper::StatusCode;
use standins::backend_server::{
    BackendServerSettings, BehaviourChange, NOT_RUN_HEADER, Neighbour, REQUEST_ID_HEADER,
    RequestRuns, TIMEOUT_HEADER, WorkAnswer, fetch_settled_witnesses,
};

use crate::support::{
    ENDLESS_US, ask, cases, eventually, get, get_with, open, start, try_ask, warm, with_body,
    witness,
};

fn endless() -> BackendServerSettings {
    BackendServerSettings {
        service_time_us: ENDLESS_US,
        ..warm()
    }
}

cases! {
    answer_echoes_the_request => {
        let server = start(warm()).await;
        let answer = ask(server.address(), get_with("/herd/cows/7", REQUEST_ID_HEADER, "ab")).await;
        let body: WorkAnswer = serde_json::from_slice(&answer.body).expect("answer");
        assert_eq!((&*body.server, &*body.request_id), ("herd-1", "ab"));
        assert_eq!((&*body.method, &*body.path), ("GET", "/herd/cows/7"));
        assert_eq!(answer.headers[REQUEST_ID_HEADER], "ab");
        let expected = RequestRuns { request_id: "ab".to_owned(), runs: 1 };
        assert_eq!(witness(&server).runs_by_request, [expected]);
        server.stop().await;
    }

    answer_is_padded_to_the_byte => {
        let server = start(warm()).await;
        let bare = ask(server.address(), get("/x?answer_bytes=000")).await.body.len();
        for wanted in [bare - 1, bare, bare + 1, 999] {
            let path = format!("/x?answer_bytes={wanted:03}");
            let answer = ask(server.address(), get(&path)).await;
            assert_eq!(answer.body.len(), wanted.max(bare));
        }
        server.stop().await;
    }

    full_slots_shed_as_not_run => {
        let server = start(BackendServerSettings { slots: 1, ..endless() }).await;
        let address = server.address();
        let first = tokio::spawn(try_ask(address, get("/first")));
        eventually("first request runs", || witness(&server).runs == 1).await;
        let shed = ask(address, get("/second")).await;
        assert_eq!(shed.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(shed.headers[NOT_RUN_HEADER], "1");
        assert_eq!((witness(&server).runs, witness(&server).shed), (1, 1));
        first.abort();
        eventually("first request is cancelled", || witness(&server).cancelled == 1).await;
        assert_eq!(witness(&server).in_flight, 0);
        server.stop().await;
    }

    neighbour_takes_slots => {
        let server = start(warm()).await;
        let neighbour = Some(Neighbour { slots: 12, for_ms: None });
        server.change_behaviour(BehaviourChange { neighbour, ..BehaviourChange::default() });
        let shed = ask(server.address(), get("/x")).await;
        assert_eq!(shed.headers[NOT_RUN_HEADER], "1");
        assert_eq!(witness(&server).runs, 0);
        server.stop().await;
    }

    deadline_ends_the_run => {
        let server = start(endless()).await;
        let answer = ask(server.address(), get_with("/x", TIMEOUT_HEADER, "5")).await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        let seen = witness(&server);
        assert_eq!((seen.runs, seen.deadline_passed, seen.cancelled), (1, 1, 0));
        assert_eq!(seen.in_flight, 0);
        server.stop().await;
    }

    cold_server_falls_over_beyond_its_cold_slots => {
        let cold = BackendServerSettings { cold_ms: 3_600_000, cold_slots: 1, ..endless() };
        let server = start(cold).await;
        let address = server.address();
        let running = [0, 1].map(|_| tokio::spawn(try_ask(address, get("/x"))));
        eventually("both run", || witness(&server).runs == 2).await;
        let seen = witness(&server);
        assert_eq!((seen.cold_in_flight_max, seen.overloaded_cold), (2, 1));
        let health = ask(address, get("/-/health")).await;
        assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
        running.iter().for_each(tokio::task::JoinHandle::abort);
        server.crash().await;
    }

    connections_beyond_the_cap_are_cut => {
        let server = start(BackendServerSettings { connections: 1, ..warm() }).await;
        let mut first = open(server.address()).await;
        first.send(get("/x")).await.expect("within the cap");
        let cut = try_ask(server.address(), get("/x")).await;
        assert!(cut.is_err());
        let control = ask(server.address(), get("/-/witness")).await;
        assert_eq!(control.status, StatusCode::OK);
        let seen = witness(&server);
        assert_eq!((seen.connections_peak, seen.connections_refused, seen.runs), (1, 1, 1));
        drop(first);
        server.stop().await;
    }

    stop_finishes_open_requests => {
        let server = start(BackendServerSettings { service_time_us: 50_000, ..warm() }).await;
        let address = server.address();
        let open = tokio::spawn(ask(address, get("/x")));
        eventually("request runs", || witness(&server).runs == 1).await;
        server.stop().await;
        assert_eq!(open.await.expect("request ends").status, StatusCode::OK);
        assert!(try_ask(address, get("/x")).await.is_err());
    }

    settled_witness_waits_for_the_last_run => {
        let server = start(BackendServerSettings { service_time_us: 300_000, ..warm() }).await;
        let running = tokio::spawn(ask(server.address(), get("/x")));
        eventually("request runs", || witness(&server).runs == 1).await;
        let seen = fetch_settled_witnesses(&[server.address()]).await.expect("witness");
        assert_eq!((seen[0].in_flight, seen[0].runs), (0, 1));
        assert_eq!(running.await.expect("request ends").status, StatusCode::OK);
        server.stop().await;
    }

    stop_closes_idle_connections => {
        let server = start(warm()).await;
        let mut used = open(server.address()).await;
        used.send(get("/x")).await.expect("answer");
        let unused = open(server.address()).await;
        server.stop().await;
        eventually("both are closed", || used.is_closed() && unused.is_closed()).await;
    }

    restart_cuts_work_and_has_a_new_identity => {
        let server = start(endless()).await;
        let address = server.address();
        let running = tokio::spawn(try_ask(address, get("/x")));
        eventually("request runs", || witness(&server).runs == 1).await;
        let change = with_body("PUT", "/-/behaviour", r#"{"cold_restart":true}"#);
        assert_eq!(ask(address, change).await.status, StatusCode::OK);
        assert!(running.await.expect("request ends").is_err());
        eventually("request is cancelled", || witness(&server).cancelled == 1).await;
        let boots = witness(&server).boots;
        assert_eq!(boots.iter().map(|boot| boot.runs).collect::<Vec<_>>(), [1, 0]);
        assert_ne!(boots[0].boot_id, boots[1].boot_id);
        server.stop().await;
    }

    repeated_ids_and_keys_are_counted => {
        let server = start(warm()).await;
        for key in ["k1", "k2", "k1"] {
            let mut request = get_with("/x", "idempotency-key", key);
            request.headers_mut().insert(REQUEST_ID_HEADER, key.parse().expect("header"));
            ask(server.address(), request).await;
        }
        let seen = witness(&server);
        assert_eq!((seen.requests_repeated, seen.keys_repeated, seen.runs), (1, 1, 3));
        let repeated = ask(server.address(), get("/-/witness?detail=repeated")).await;
        let text = std::str::from_utf8(&repeated.body).expect("text");
        assert!(text.contains(r#"[{"idempotency_key":"k1","runs":2}]"#));
        server.stop().await;
    }
}
