//! Callers of non-idempotent requests follow the ticket protocol.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use serde::Serialize;
use standins::backend_server::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, WorkAnswer};
use standins::http::answer::{Answer, ConnectionCut, json};
use standins::http::listener::{Handler, HttpListener};
use standins::load::{ArrivalSpacing, Claim, LoadReport, LoadSettings, RequestKind, run};

use crate::support::{cases, loopback};

const TICKET_HEADER: &str = "bronzelock-ticket";

/// What the node does with the first request that carries a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstTry {
    Answer,
    LoseAnswer,
    RefuseTicket,
    LoseAnswerThenRefuse,
}

#[derive(Debug, Serialize)]
struct Problem {
    reason: &'static str,
    not_run: bool,
}

/// Tickets seen with one key, in order.
type TicketsByKey = HashMap<String, Vec<Option<String>>>;

/// Node that hands out tickets and remembers how they were used.
#[derive(Debug)]
struct TicketNode {
    first_try: FirstTry,
    seen: Mutex<TicketsByKey>,
    issued: Mutex<u64>,
}

impl TicketNode {
    fn next_ticket(&self) -> HeaderValue {
        let mut issued = self.issued.lock().expect("lock");
        *issued += 1;
        HeaderValue::from(*issued)
    }

    /// Remembers an attempt; tells how many carried a ticket, this one included.
    fn record(&self, key: &str, ticket: Option<&str>) -> usize {
        let mut seen = self.seen.lock().expect("lock");
        let tickets = seen.entry(key.to_owned()).or_default();
        tickets.push(ticket.map(str::to_owned));
        tickets.iter().flatten().count()
    }

    fn seen(&self) -> TicketsByKey {
        self.seen.lock().expect("lock").clone()
    }

    fn refuse(reason: &'static str) -> Answer {
        json(
            StatusCode::PRECONDITION_REQUIRED,
            &Problem {
                reason,
                not_run: true,
            },
        )
    }

    fn answer_done(&self, request: &Request<Incoming>) -> Answer {
        let body = WorkAnswer {
            server: "herd-1".into(),
            request_id: header(request, REQUEST_ID_HEADER)
                .unwrap_or_default()
                .into(),
            method: "POST".into(),
            path: "/herd/gate".into(),
            branch: "srisawat".into(),
            request_bytes: 0,
        };
        let mut answer = json(StatusCode::OK, &body);
        answer
            .headers_mut()
            .insert(TICKET_HEADER, self.next_ticket());
        answer
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

impl Handler for TicketNode {
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
        let key = header(&request, IDEMPOTENCY_KEY_HEADER).expect("a key");
        let ticket = header(&request, TICKET_HEADER);
        let with_ticket = self.record(key, ticket);
        match (with_ticket, self.first_try) {
            _ if ticket.is_none() => {
                let mut refusal = Self::refuse("ticket-required");
                refusal
                    .headers_mut()
                    .insert(TICKET_HEADER, self.next_ticket());
                Ok(refusal)
            }
            (1, FirstTry::LoseAnswer | FirstTry::LoseAnswerThenRefuse) => {
                Err(ConnectionCut::BeforeAnswer)
            }
            (_, FirstTry::LoseAnswerThenRefuse) => Ok(Self::refuse("ticket-executor-gone")),
            (1, FirstTry::RefuseTicket) => Ok(Self::refuse("ticket-expired")),
            _ => Ok(self.answer_done(&request)),
        }
    }
}

async fn drive(first_try: FirstTry) -> (LoadReport, TicketsByKey) {
    let node = TicketNode {
        first_try,
        seen: Mutex::default(),
        issued: Mutex::default(),
    };
    let node = Arc::new(node);
    let listener = HttpListener::start(loopback(), Arc::clone(&node))
        .await
        .expect("listens");
    let settings = LoadSettings {
        targets: vec![listener.address()],
        kinds: vec![RequestKind::post_once("/herd/gate", "srisawat")],
        rate_per_s: 50.0,
        duration_ms: 500,
        spacing: ArrivalSpacing::Even,
        timeout_ms: 20_000,
        connections: 4,
        records_claims: true,
        ..LoadSettings::default()
    };
    let report = run(&settings).await.expect("run ends");
    listener.stop().await;
    (report, node.seen())
}

fn all_done(report: &LoadReport, keys: &TicketsByKey) {
    assert_eq!((report.overall.sent, report.overall.answered), (24, 24));
    assert_eq!(keys.len(), 24);
    assert!(report.claims.iter().all(|claim| claim.claim == Claim::Done));
}

cases! {
    first_key_asks_for_a_ticket_and_later_ones_hold_it => {
        let (report, keys) = drive(FirstTry::Answer).await;
        all_done(&report, &keys);
        let asked = keys.values().filter(|tickets| tickets[0].is_none()).count();
        assert_eq!(report.overall.repeats, asked as u64);
        assert!((1..24).contains(&asked));
        let mut used: Vec<_> = keys.values().flatten().flatten().collect();
        used.sort();
        used.dedup();
        assert_eq!(used.len(), 24, "each key has a ticket of its own");
    }

    lost_answer_is_asked_for_with_the_same_ticket => {
        let (report, keys) = drive(FirstTry::LoseAnswer).await;
        all_done(&report, &keys);
        for tickets in keys.values() {
            let used: Vec<_> = tickets.iter().flatten().collect();
            assert_eq!(used.len(), 2);
            assert_eq!(used[0], used[1]);
        }
    }

    expired_ticket_is_replaced_before_any_run => {
        let (report, keys) = drive(FirstTry::RefuseTicket).await;
        all_done(&report, &keys);
        for tickets in keys.values() {
            let used: Vec<_> = tickets.iter().flatten().collect();
            assert_eq!(used.len(), 2);
            assert_ne!(used[0], used[1]);
        }
    }

    refusal_after_a_lost_answer_leaves_the_run_unknown => {
        let (report, keys) = drive(FirstTry::LoseAnswerThenRefuse).await;
        assert_eq!((report.overall.answered, report.overall.refusal_latency.count), (0, 24));
        assert!(report.claims.iter().all(|claim| claim.claim == Claim::Unknown));
        assert!(keys.values().all(|tickets| tickets.iter().flatten().count() == 2));
    }
}
