//! Decoding of platform messages: announcements, operator records, requests and answers.

use bronzelock::decision::host::announcement::AnnouncedState;
use bronzelock::edge::http1::{Request, RequestHead, Response, ResponseHead};
use bronzelock::model::body::Body;
use bronzelock::model::header::Header;
use bronzelock::model::names::ZoneName;
use bronzelock::model::request::Effect;
use bronzelock::platform::announcements::{self, Message};
use bronzelock::platform::operator::{self, Subject};
use bronzelock::platform::{answers, requests};

const OWN: &str = "10.0.0.1:8080";

fn decode_announcement(body: &str) -> Result<Message, String> {
    let path = "/v1/instances/i-1/heartbeat";
    let own = OWN.parse().expect("an address");
    announcements::decode(path, body.as_bytes(), own).map_err(|error| error.to_string())
}

#[test]
fn a_heartbeat_is_decoded() {
    let body = r#"{"service":"herd","address":"10.0.0.1:8080","zone":"z","version":"v1",
        "slots":12,"state":"draining","cold_left_ms":1500,"sequence":4,"born":77,"new":1}"#;
    let Ok(Message::Heartbeat(announcement)) = decode_announcement(body) else {
        panic!("not decoded");
    };
    assert_eq!(
        (
            announcement.sequence,
            announcement.start_time_ms,
            announcement.slots
        ),
        (4, 77, 12)
    );
    assert_eq!(announcement.state, AnnouncedState::Draining);
    assert_eq!(announcement.cold_left_us, 1_500_000);
}

fn check_rejected(body: &str) {
    assert!(decode_announcement(body).is_err());
}

crate::cases! { check_rejected:
    unknown_state(r#"{"service":"herd","address":"10.0.0.1:8080","slots":1,"state":"odd","cold_left_ms":0,"sequence":1}"#);
    another_address(r#"{"service":"herd","address":"10.0.0.2:8080","slots":1,"state":"ready","cold_left_ms":0,"sequence":1}"#);
    field_of_another_type(r#"{"service":"herd","address":"10.0.0.1:8080","slots":"1","state":"ready","cold_left_ms":0,"sequence":1}"#);
    missing_field(r#"{"service":"herd","address":"10.0.0.1:8080","state":"ready","sequence":1}"#);
    invalid_json("\u{0}");
}

#[test]
fn a_configuration_is_decoded() {
    let text = r#"{"version":7,"routes":[
        {"name":"a","host":"H.example","path_prefix":"/a/","effect":"non-idempotent","timeout_ms":1200,
         "objective_ms":800,"rank":1,"service":"herd","servers_max":2},
        {"name":"b","host":"h.example","path_prefix":"/b/","effect":"idempotent","timeout_ms":1500,
         "objective_ms":600,"rank":2,"split":[{"service":"herd","weight":90},{"service":"parlour","weight":10}],
         "servers_max":2}],
        "services":[{"name":"herd","health_path":"/h","connections_max":220,"cold_requests_per_s":11.0}],
        "limits":{"head_bytes_max":16384,"body_bytes_max":1024,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    let config = operator::decode_config(text.as_bytes()).expect("a configuration");
    let route = config.route("h.example", "/a/1").expect("a route");
    assert_eq!(
        (route.effect, route.timeout_us),
        (Effect::NonIdempotent, 1_200_000)
    );
    let split = config.route("h.example", "/b/1").expect("a route");
    assert_eq!(split.targets.len(), 2);
    assert_eq!(config.callers.idle_timeout_ms, 15_000);
}

#[test]
fn keys_of_operator_records_map_to_subjects() {
    let zone = ZoneName::new("saraburi").expect("valid name");
    assert_eq!(operator::subject("config"), Subject::Config);
    assert_eq!(
        operator::subject("evacuate/saraburi"),
        Subject::ZoneOut(zone)
    );
    assert_eq!(operator::subject("else"), Subject::Other);
}

fn caller_request(headers: &[(&str, &'static str)]) -> Request {
    let headers = headers
        .iter()
        .map(|(name, value)| Header::new(name, *value))
        .collect();
    Request {
        head: RequestHead {
            method: "GET".to_owned(),
            target: "/a/1".to_owned(),
            headers,
            keep_alive: true,
        },
        body: Body::default(),
    }
}

#[test]
fn headers_that_only_the_node_sets_are_not_passed_on() {
    let request = caller_request(&[
        ("Host", "A.example:80"),
        ("Bronzelock-Request-Id", "7"),
        ("Bronzelock-Request-Deadline", "800"),
        ("Bronzelock-Target-Instance", "i-9"),
        ("Bronzelock-Caller-Service", "forged"),
        ("Connection", "x-hop"),
        ("X-Hop", "1"),
        ("X-Kept", "1"),
    ]);
    let decoded = requests::decode(request).expect("an identifier");
    assert_eq!(
        (decoded.host.as_str(), decoded.wait_ms),
        ("a.example", Some(800))
    );
    let names: Vec<&str> = decoded
        .headers
        .iter()
        .map(|header| header.name.as_str())
        .collect();
    assert_eq!(names, ["Host", "Bronzelock-Request-Id", "X-Kept"]);
}

#[test]
fn a_request_without_an_identifier_is_not_decoded() {
    assert!(requests::decode(caller_request(&[("Host", "a")])).is_err());
}

#[test]
fn load_headers_of_an_answer_are_decoded() {
    let mut head = ResponseHead::new(503);
    head.headers = vec![
        Header::new("bronzelock-not-executed", "1"),
        Header::new("Bronzelock-Server-Load", "3,0,12,400"),
        Header::new("Bronzelock-Cold-Remaining-Ms", "250"),
    ];
    let facts = answers::decode_facts(&Response {
        head,
        body: Body::default(),
    });
    assert!(facts.not_run && !facts.signed);
    assert_eq!(facts.report.slots, Some(12));
    assert_eq!(facts.report.slowness_percent, Some(400));
    assert_eq!(facts.report.cold_left_us, Some(250_000));
}
