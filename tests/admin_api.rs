//! The administration API over HTTP.

mod common;
#[path = "common/admin.rs"]
mod node;

use std::net::SocketAddr;
use std::sync::Arc;

use bronzelock::agreement::publish::{NotAcceptedReason, PublishOutcome};
use bronzelock::edge::http_exchange::{HttpResponse, exchange};
use bronzelock::operators::admin_api::access::{AccessError, AdminToken, check_listen};
use bytes::Bytes;
use common::{HERD, block_on, zone};
use http_body_util::Full;
use hyper::Request;
use node::{FakeNode, TOKEN, herd_node, serve};
use serde_json::Value;
use tokio::net::TcpStream;

const ANSWER_BYTES_MAX: usize = 1_000_000;
const HERD_PATH: &str = "/v1/services/herd/branches/ratchaburi-dairy";

/// One call: method, path, headers and body.
struct Call<'a>(&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

/// A change by `PUT` with the usual headers.
fn put<'a>(path: &'a str, headers: &'a [(&'a str, &'a str)], body: &'a str) -> Call<'a> {
    Call("PUT", path, headers, body)
}

async fn send(address: SocketAddr, call: &Call<'_>) -> HttpResponse {
    let mut request = Request::builder()
        .method(call.0)
        .uri(call.1)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {TOKEN}"));
    for (name, value) in call.2 {
        request.headers_mut().expect("valid so far").remove(*name);
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(call.3.as_bytes()));
    let socket = TcpStream::connect(address).await.expect("the API listens");
    let request = request.body(body).expect("a request");
    exchange(socket, request, ANSWER_BYTES_MAX)
        .await
        .expect("a whole answer")
}

/// Calls a node one after another and returns the answers.
fn answers(node: FakeNode, calls: &[Call<'_>]) -> (Arc<FakeNode>, Vec<HttpResponse>) {
    let node = Arc::new(node);
    let answers = block_on(async {
        let (address, server) = serve(&node, Some(TOKEN)).await;
        let mut answers = Vec::new();
        for call in calls {
            answers.push(send(address, call).await);
        }
        server.abort();
        answers
    });
    (node, answers)
}

fn json(answer: &HttpResponse) -> Value {
    serde_json::from_slice(&answer.body).expect("every answer is JSON")
}

/// Status and reason of a problem document, whose form is checked too.
fn problem(answer: &HttpResponse) -> (u16, String) {
    assert_eq!(answer.headers["content-type"], "application/problem+json");
    let document = json(answer);
    let reason = document["reason"].as_str().expect("a reason").to_owned();
    assert_eq!(document["status"], answer.status.as_u16());
    assert_eq!(document["type"], format!("urn:bronzelock:problem:{reason}"));
    (answer.status.as_u16(), reason)
}

/// What one call on a fresh node is told.
fn told(node: FakeNode, call: Call<'_>) -> (u16, String) {
    problem(&answers(node, &[call]).1[0])
}

fn is(status: u16, reason: &str) -> (u16, String) {
    (status, reason.to_owned())
}

const ON_0: &[(&str, &str)] = &[
    ("if-match", "\"0\""),
    ("bronzelock-change-id", "c-1"),
    ("bronzelock-author", "ann"),
];
const ALSO_ON_0: &[(&str, &str)] = &[("if-match", "\"0\""), ("bronzelock-change-id", "c-2")];
const ON_1: &[(&str, &str)] = &[("if-match", "\"1\""), ("bronzelock-change-id", "c-3")];
const ON_1_CONFIRMED: &[(&str, &str)] = &[
    ("if-match", "\"1\""),
    ("bronzelock-change-id", "c-3"),
    ("bronzelock-confirm", "yes"),
];

cases! {
    wrong_or_missing_token_is_unauthorized => {
        for header in ["Bearer another token", "Basic a token of the tests", ""] {
            let call = Call("GET", "/v1/config", &[("authorization", header)], "");
            let (_, answers) = answers(FakeNode::default(), &[call]);
            assert_eq!(problem(&answers[0]), is(401, "unauthorized"), "{header}");
            assert_eq!(answers[0].headers["www-authenticate"], "Bearer");
        }
    }

    beyond_loopback_needs_a_token => {
        let (loopback, open) = ("127.0.0.1:1", "10.0.0.1:1");
        let (loopback, open) = (loopback.parse().expect("one"), open.parse().expect("one"));
        let token = AdminToken::new(TOKEN).expect("long enough");
        assert_eq!(check_listen(loopback, None), Ok(()));
        assert_eq!(check_listen(open, None), Err(AccessError::TokenMissing(open)));
        assert_eq!(check_listen(open, Some(&token)), Ok(()));
        assert_eq!(AdminToken::new(" short ").err(), Some(AccessError::TokenTooShort));
        assert!(!format!("{token:?}").contains(TOKEN));
    }

    version_travels_as_etag => {
        let calls = [
            put("/v1/zones/saraburi/out", ON_0, ""),
            Call("GET", "/v1/config", &[], ""),
        ];
        let (node, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(answers[0].headers["etag"], "\"1\"");
        assert_eq!(answers[1].headers["etag"], "\"1\"");
        assert_eq!(json(&answers[1])["zones_out"][0], "saraburi");
        assert!(node.config_now().zones_out.contains(&zone("saraburi")));
    }

    change_needs_its_base_and_its_id => {
        let no_base: &[(&str, &str)] = &[("bronzelock-change-id", "c-1")];
        let no_id: &[(&str, &str)] = &[("if-match", "\"0\"")];
        let any_base: &[(&str, &str)] = &[("if-match", "*"), ("bronzelock-change-id", "c-1")];
        let path = "/v1/zones/saraburi/out";
        assert_eq!(told(FakeNode::default(), put(path, no_base, "")), is(428, "base-missing"));
        assert_eq!(told(FakeNode::default(), put(path, no_id, "")), is(400, "bad-request"));
        assert_eq!(told(FakeNode::default(), put(path, any_base, "")), is(400, "bad-request"));
    }

    loser_of_a_race_is_told_by_whom_and_on_which_version => {
        let calls = [
            put("/v1/zones/saraburi/out", ON_0, ""),
            put("/v1/zones/ratchaburi/out", ALSO_ON_0, ""),
        ];
        let (node, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(problem(&answers[1]), is(412, "rejected"));
        let document = json(&answers[1]);
        assert_eq!(document["winner"], "c-1");
        assert_eq!(document["winner_author"], "ann");
        assert_eq!(document["version"], 1);
        assert!(!node.config_now().zones_out.contains(&zone("ratchaburi")));
    }

    repeat_with_the_same_id_is_the_same_change => {
        let path = "/v1/zones/saraburi/out";
        let calls = [put(path, ON_0, ""), put(path, ON_0, "")];
        let (node, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(json(&answers[0]), json(&answers[1]));
        assert_eq!(node.config_now().version.0, 1);
    }

    id_of_another_change_is_refused => {
        let calls = [
            put("/v1/zones/saraburi/out", ON_0, ""),
            put("/v1/zones/ratchaburi/out", ON_0, ""),
        ];
        let (_, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(problem(&answers[1]), is(409, "change-id-reused"));
    }

    taking_the_last_room_needs_a_confirmation => {
        let node = FakeNode::default();
        node.status.lock().expect("fresh").nodes = vec![
            herd_node("herd-1", "ratchaburi", 1),
            herd_node("herd-2", "ratchaburi", 1),
        ];
        let calls = [
            put(HERD_PATH, ON_0, HERD),
            put("/v1/zones/ratchaburi/out", ON_1, ""),
            put("/v1/servers/herd-1/out", ON_1, ""),
            put("/v1/zones/ratchaburi/out", ON_1_CONFIRMED, ""),
        ];
        let (node, answers) = answers(node, &calls);
        assert_eq!(problem(&answers[1]), is(409, "no-room"));
        assert_eq!(json(&answers[1])["warnings"][0]["no-server"]["service"], "herd");
        assert_eq!(answers[2].status, 200, "one of two servers leaves room");
        assert_eq!(problem(&answers[3]), is(409, "change-id-reused"));
        assert!(node.config_now().zones_out.is_empty());
    }

    confirmed_change_goes_through => {
        let calls = [put(HERD_PATH, ON_0, HERD), put("/v1/zones/saraburi/out", ON_1_CONFIRMED, "")];
        let (node, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(answers[1].status, 200);
        assert!(node.config_now().zones_out.contains(&zone("saraburi")));
    }

    bad_answers_are_listed => {
        let body = HERD.replace("\"cold_slots\": 2", "\"cold_slots\": 20");
        let (node, answers) = answers(FakeNode::default(), &[put(HERD_PATH, ON_0, &body)]);
        assert_eq!(problem(&answers[0]), is(422, "bad-answers"));
        assert_eq!(json(&answers[0])["answers"][0]["question"], "cold_slots");
        assert_eq!(node.config_now().version.0, 0);
    }

    answers_for_another_branch_are_refused => {
        let path = "/v1/services/herd/branches/saraburi-dairy";
        assert_eq!(told(FakeNode::default(), put(path, ON_0, HERD)), is(400, "bad-request"));
    }

    removed_branch_is_gone => {
        let calls = [
            put(HERD_PATH, ON_0, HERD),
            Call("GET", HERD_PATH, &[], ""),
            Call("DELETE", HERD_PATH, ON_1, ""),
            Call("GET", HERD_PATH, &[], ""),
        ];
        let (node, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(json(&answers[1])["slots"], 12);
        assert_eq!(answers[2].status, 200);
        assert_eq!(problem(&answers[3]), is(404, "not-found"));
        assert!(node.config_now().services.is_empty());
    }

    preview_changes_nothing => {
        let (node, answers) = answers(FakeNode::default(), &[Call("POST", "/v1/preview", &[], HERD)]);
        let difference = json(&answers[0])["difference"].as_str().expect("text").to_owned();
        assert!(difference.starts_with("+ service herd: "), "{difference}");
        assert_eq!(answers[0].headers["etag"], "\"0\"");
        assert_eq!(node.config_now().version.0, 0);
    }

    log_that_is_down_is_told_as_not_accepted => {
        let answer = PublishOutcome::NotAccepted(NotAcceptedReason::LogDown);
        let node = FakeNode { answer: Some(answer).into(), ..FakeNode::default() };
        assert_eq!(told(node, put("/v1/zones/z/out", ON_0, "")), is(503, "not-accepted"));
    }

    lost_answer_is_told_as_unknown => {
        let node = FakeNode { answer: Some(PublishOutcome::Unknown).into(), ..FakeNode::default() };
        assert_eq!(told(node, put("/v1/zones/z/out", ON_0, "")), is(504, "outcome-unknown"));
    }

    node_without_configuration_says_so => {
        let node = FakeNode { without_config: true, ..FakeNode::default() };
        assert_eq!(told(node, Call("GET", "/v1/config", &[], "")), is(503, "no-configuration"));
        let node = FakeNode { without_config: true, ..FakeNode::default() };
        assert_eq!(told(node, put("/v1/zones/z/out", ON_0, "")), is(503, "no-configuration"));
    }

    change_is_found_by_its_id => {
        let calls = [
            put("/v1/zones/saraburi/out", ON_0, ""),
            Call("GET", "/v1/changes/c-1", &[], ""),
            Call("GET", "/v1/changes/c-9", &[], ""),
        ];
        let (_, answers) = answers(FakeNode::default(), &calls);
        assert_eq!(json(&answers[1])["outcome"]["Accepted"], 1);
        assert_eq!(problem(&answers[2]), is(404, "not-found"));
    }

    other_refusals_are_problem_documents_too => {
        let long = "x".repeat(70_000);
        let calls = [
            (Call("GET", "/v1/nothing", &[], ""), is(404, "not-found")),
            (Call("PUT", "/v1/zones/BadName/out", ON_0, ""), is(404, "not-found")),
            (Call("POST", "/v1/config", &[], ""), is(405, "method-not-allowed")),
            (Call("POST", "/v1/preview", &[], &long), is(413, "body-too-large")),
            (Call("POST", "/v1/preview", &[], "[]"), is(422, "bad-answers")),
        ];
        for (call, expected) in calls {
            assert_eq!(told(FakeNode::default(), call), expected);
        }
    }
}
