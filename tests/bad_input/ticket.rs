//! Tickets that are malformed, forged, used for another request or expired.

use std::time::Duration;

use bronzelock::decision::ticket::{Ticket, TicketKey};
use serde_json::Value;

use crate::support::{TICKET_LIFETIME_MS, TOKEN, TestNode, cases, problem_of, start};

/// Longer than a ticket's lifetime, in ms.
const EXPIRED_MS: u64 = TICKET_LIFETIME_MS + 500;

async fn post(node: &TestNode, ticket: Option<&str>, body: &str) -> (u16, Value, Option<String>) {
    let ticket = ticket.map_or(String::new(), |text| {
        format!("bronzelock-ticket: {text}\r\n")
    });
    let request = format!(
        "POST /herd/gate/7 HTTP/1.1\r\nhost: t\r\nconnection: close\r\nidempotency-key: k\r\n\
         {ticket}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = node
        .exchange(request.as_bytes())
        .await
        .expect("a connection");
    let (status, problem) = problem_of(&answer);
    let fresh = answer
        .lines()
        .find_map(|line| line.strip_prefix("bronzelock-ticket: "));
    (status, problem, fresh.map(str::to_owned))
}

async fn draw(node: &TestNode) -> String {
    let (status, problem, ticket) = post(node, None, "open").await;
    assert_eq!(
        (status, &problem["reason"]),
        (428, &Value::from("ticket-required"))
    );
    ticket.expect("a fresh ticket")
}

/// A refused ticket may be a damaged copy of a genuine one, so the outcome is unknown.
async fn invalid(node: &TestNode, text: &str) {
    let before = node.counter("refused.ticket-invalid");
    let runs = node.runs();
    let (status, problem, _fresh) = post(node, Some(text), "open").await;
    assert_eq!(
        (status, &problem["reason"]),
        (400, &Value::from("ticket-invalid")),
        "{problem}"
    );
    assert_eq!(problem["not_run"], false, "{problem}");
    assert_eq!(node.counter("refused.ticket-invalid"), before + 1);
    assert_eq!(node.runs(), runs);
}

cases! {
    forged_and_damaged_tickets_are_refused_as_unknown => {
        let node = start().await;
        let genuine = draw(&node).await;
        let ticket = Ticket::decode(&genuine, &TicketKey::from_secret(TOKEN)).expect("genuine");
        invalid(&node, "nonsense").await;
        invalid(&node, &genuine[1..]).await;
        invalid(&node, &"a".repeat(10_000)).await;
        invalid(&node, &ticket.encode(&TicketKey::from_secret("another secret"))).await;
        let never_issued = Ticket { serial: ticket.serial + 1_000, ..ticket };
        invalid(&node, &never_issued.encode(&TicketKey::from_secret(TOKEN))).await;
        node.assert_unharmed().await;
    }

    ticket_used_for_another_request_is_refused_and_counted => {
        let node = start().await;
        let ticket = draw(&node).await;
        let before = node.runs();
        assert_eq!(post(&node, Some(&ticket), "open").await.0, 200);
        let (status, problem, _fresh) = post(&node, Some(&ticket), "shut").await;
        assert_eq!((status, &problem["reason"]), (422, &Value::from("ticket-reused")));
        assert_eq!(problem["not_run"], false);
        assert_eq!(node.counter("refused.ticket-reused"), 1);
        assert_eq!(node.runs(), before + 1);
    }

    expired_ticket_is_refused_and_counted => {
        let node = start().await;
        let ticket = draw(&node).await;
        let before = node.runs();
        tokio::time::sleep(Duration::from_millis(EXPIRED_MS)).await;
        let (status, problem, _fresh) = post(&node, Some(&ticket), "open").await;
        assert_eq!((status, &problem["reason"]), (410, &Value::from("ticket-expired")));
        assert_eq!(node.counter("refused.ticket-expired"), 1);
        assert_eq!(node.runs(), before);
    }
}
