//! Odd entries from other writers: deeply nested, with numbers or ports out of range, or cut.

use std::net::SocketAddr;

use bronzelock::decision::host::announcement::{Announcement, Freshness};
use bronzelock::decision::host::work::ServerReport;
use bronzelock::edge::http1::{Response, ResponseHead};
use bronzelock::host::peers::fact_datagrams;
use bronzelock::model::header::Header;
use bronzelock::platform::announcements::{self, Message};
use bronzelock::platform::rollouts::decode_order;
use bronzelock::platform::store::StoreClient;
use bronzelock::platform::{answers, names, operator};
use standins::platform::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::backend_answers::announced_host;

/// Depths of nesting; the decoder of JSON allows 128.
const DEPTHS: [usize; 5] = [10, 127, 128, 10_000, 1_000_000];

/// Numbers that are not counts.
const ODD_NUMBERS: [&str; 8] = [
    "-1",
    "1.5",
    "1e400",
    "-1e400",
    "18446744073709551616",
    "1e19",
    "\"1\"",
    "null",
];

/// Length of a long name, in bytes.
const LONG_NAME_BYTES: usize = 1 << 20;

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn nested_objects(depth: usize) -> String {
    format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth))
}

fn server() -> SocketAddr {
    "10.0.0.1:8080".parse().expect("an address")
}

/// A heartbeat with one field replaced.
fn heartbeat(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"milk\""),
        ("address", "\"10.0.0.1:8080\""),
        ("version", "\"v1\""),
        ("slots", "4"),
        ("state", "\"ready\""),
        ("cold_left_ms", "0"),
        ("sequence", "5"),
        ("born", "1700000000000"),
    ];
    let is_known = fields.iter().any(|(name, _usual)| *name == field);
    let extra = (field, if is_known { "0" } else { value });
    let extra = (if is_known { "extra" } else { extra.0 }, extra.1);
    let lines = fields
        .map(|(name, usual)| format!("\"{name}\":{}", if name == field { value } else { usual }));
    format!("{{{},\"{}\":{}}}", lines.join(","), extra.0, extra.1)
}

fn decode(body: &str) -> Result<Announcement, String> {
    let target = "/v1/instances/i-1/heartbeat";
    match announcements::decode(target, body.as_bytes(), server()) {
        Ok(Message::Heartbeat(announcement)) => Ok(announcement),
        Ok(other) => Err(format!("{other:?}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Applies an odd heartbeat, if it is accepted, and then a usual one.
fn check_usual_heartbeat_counts_after(odd: &str) {
    let host = announced_host(server());
    let usual = decode(&heartbeat("sequence", "6")).expect("a heartbeat");
    host.gate.with(|gate| {
        if let Ok(odd) = decode(odd) {
            gate.observe_announcement(odd, host.now_us());
        }
        let freshness = gate.observe_announcement(usual, host.now_us());
        assert_ne!(freshness, Freshness::Stale, "{odd}");
    });
}

/// Guards against nodes that follow their backend server no longer after an entry with odd numbers.
#[test]
fn a_heartbeat_with_odd_numbers_does_not_hide_those_that_follow() {
    for field in ["slots", "cold_left_ms", "sequence", "born"] {
        for number in ODD_NUMBERS {
            check_usual_heartbeat_counts_after(&heartbeat(field, number));
        }
        for number in ["18446744073709551615", "9223372036854775807", "1e300"] {
            check_usual_heartbeat_counts_after(&heartbeat(field, number));
        }
    }
}

/// Guards against a departure whose start time hides every later start.
#[test]
fn a_departure_with_an_odd_start_time_is_refused() {
    for number in ["18446744073709551615", "-1", "1e400", "1.5"] {
        let body = format!("{{\"born\":{number}}}");
        let target = "/v1/instances/i-1/deregister";
        let decoded = announcements::decode(target, body.as_bytes(), server());
        assert!(decoded.is_err(), "{number}: {decoded:?}");
    }
}

/// Guards against processes that end, or sums that wrap, over a cold start that never ends.
#[test]
fn a_cold_start_out_of_range_is_passed_over() {
    for text in ["1e300", "1e400", "inf", "NaN", "-1", "x"] {
        let mut head = ResponseHead::new(200);
        head.headers = vec![Header::new(names::COLD_LEFT_MS, text.to_owned())];
        let body = bronzelock::model::body::Body::default();
        let report = answers::decode_facts(&Response { head, body }).report;
        let host = announced_host(server());
        host.gate
            .with(|gate| gate.observe_report(report, host.now_us()));
        assert!(
            report.cold_left_us.unwrap_or(0) < u64::MAX / 2,
            "{text}: {report:?}"
        );
    }
    let host = announced_host(server());
    let endless = ServerReport {
        cold_left_us: Some(u64::MAX),
        ..ServerReport::default()
    };
    host.gate
        .with(|gate| gate.observe_report(endless, host.now_us()));
}

/// Guards against processes that end over deep nesting, wherever it stands.
#[test]
fn deep_nesting_is_refused_or_passed_over() {
    for depth in DEPTHS {
        for value in [nested(depth), nested_objects(depth), "[".repeat(depth)] {
            for field in [
                "service", "address", "version", "slots", "state", "sequence",
            ] {
                assert!(
                    decode(&heartbeat(field, &value)).is_err(),
                    "{field}, {depth}"
                );
            }
            check_usual_heartbeat_counts_after(&heartbeat("unknown", &value));
            assert!(operator::decode_config(value.as_bytes()).is_err());
            assert!(decode_order(value.as_bytes()).is_err());
        }
    }
}

/// Guards against sums that end the process or wrap, over times without end.
#[test]
fn times_of_a_configuration_are_bounded() {
    let text = r#"{"version":1,"services":[],
        "routes":[{"name":"a","host":"h","path_prefix":"/","effect":"idempotent","timeout_ms":1e300,
            "objective_ms":1e300,"rank":1,"service":"milk","servers_max":2}],
        "limits":{"head_bytes_max":9,"body_bytes_max":9,"head_timeout_ms":1e300,"idle_timeout_ms":1e300}}"#;
    let config = operator::decode_config(text.as_bytes()).expect("a configuration");
    let route = config.route("h", "/").expect("a route");
    for time in [
        route.timeout_us,
        route.objective_us,
        config.callers.head_timeout_ms,
    ] {
        assert!(time < u64::MAX / 1_000_000, "{time}");
    }
}

/// Guards against entries for an address that no backend server can have.
#[test]
fn addresses_out_of_range_are_refused() {
    for address in [
        "10.0.0.1:0",
        "10.0.0.1:70000",
        "10.0.0.1:-1",
        "10.0.0.1",
        "",
        ":8080",
    ] {
        let odd = heartbeat("address", &format!("\"{address}\""));
        assert!(decode(&odd).is_err(), "{address}");
    }
    assert!(decode(&heartbeat("address", "8080")).is_err());
}

/// Guards against a process that ends over half an entry.
#[test]
fn half_an_entry_is_refused() {
    let whole = heartbeat("sequence", "6");
    for cut in 0..whole.len() {
        assert!(decode(&whole[..cut]).is_err(), "{}", &whole[..cut]);
    }
}

/// Guards against log lines as long as what another writer sends.
#[test]
fn a_refused_entry_is_named_in_a_short_line() {
    let long = "x".repeat(LONG_NAME_BYTES);
    for (target, field) in [
        ("/v1/instances/i-1/heartbeat", "slots"),
        (&*format!("/v1/instances/{long}/heartbeat"), "state"),
    ] {
        let body = heartbeat(field, &format!("\"{long}\""));
        let error = announcements::decode(target, body.as_bytes(), server()).expect_err("refused");
        let lines = crate::event_log::written_by("announcement-refused", |log| {
            log.announcement_refused(target, &error);
        });
        assert!(lines[0].to_string().len() < 2_000, "{}", lines[0]);
    }
}

/// A log service that answers one read of the newest records with these items.
async fn newest_of(items: &str, more: bool) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let body = format!("{{\"items\":[{items}],\"more\":{more},\"end\":9}}");
    tokio::spawn(async move {
        let (mut stream, _node) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        while matches!(stream.read(&mut request).await, Ok(1..)) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _sent = stream.write_all(head.as_bytes()).await;
            let _sent = stream.write_all(body.as_bytes()).await;
        }
    });
    StoreClient::new(address)
}

fn item(key: &str, value: &str, offset: &str) -> String {
    format!("{{\"key\":{key},\"value\":{value},\"offset\":{offset}}}")
}

/// Guards against a record that no node can read and that hides all others.
#[tokio::test]
async fn an_odd_record_does_not_hide_those_behind_it() {
    let mut odd: Vec<String> = ["null", "5", "\"x\"", "[]", "{}", "1e400"]
        .map(str::to_owned)
        .into();
    odd.extend(ODD_NUMBERS.map(|number| item("\"k\"", "\"QQ==\"", number)));
    odd.extend(["\"%\"", "5", "[]", "{}"].map(|value| item("\"k\"", value, "1")));
    odd.extend(["5", "null", "[]"].map(|key| item(key, "\"QQ==\"", "1")));
    odd.extend(DEPTHS.map(nested));
    odd.extend(DEPTHS.map(|depth| item("\"k\"", &nested_objects(depth), "1")));
    let long = "x".repeat(LONG_NAME_BYTES);
    odd.push(item("\"k\"", "\"QQ==\"", &format!("\"{long}\"")));
    let (before, after) = (
        item("\"a\"", "\"QQ==\"", "2"),
        item("\"b\"", "\"QQ==\"", "3"),
    );
    for odd in odd {
        let mut client = newest_of(&format!("{before},{odd},{after}"), false).await;
        let read = client.read_newest("keyed.op").await;
        let keys: Vec<_> = match &read {
            Ok(read) => read.records.iter().map(|record| &*record.key).collect(),
            Err(error) => panic!("{}: {error}", &odd[..odd.len().min(80)]),
        };
        assert_eq!(keys, ["a", "b"], "{}", &odd[..odd.len().min(80)]);
    }
}

/// Guards against reading the same page for ever, if it names no key to go on after.
#[tokio::test]
async fn a_page_that_leads_nowhere_is_read_once() {
    for items in ["", "{}", &item("\"a\"", "\"QQ==\"", "1")] {
        let mut client = newest_of(items, true).await;
        let read = tokio::time::timeout(
            std::time::Duration::from_secs(5),
            client.read_newest("keyed.op"),
        );
        let read = read.await.expect("it ends");
        assert!(read.is_err() || items.is_empty(), "{items}: {read:?}");
    }
}

/// Guards against a key as long as a length byte allows, or longer than its record.
#[tokio::test]
async fn records_with_odd_keys_do_not_hide_those_behind_them() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Store::start(loopback).await.expect("the store starts");
    store.put_invalid("keyed.op");
    store.put("keyed.op", "config", Some(nested(1_000_000).as_bytes()));
    store.put("keyed.op", "evacuate/z", Some(b"1"));
    let mut client = StoreClient::new(store.address());
    let read = client.read_newest("keyed.op").await.expect("a snapshot");
    assert!(
        read.records
            .iter()
            .any(|record| &*record.key == "evacuate/z")
    );
}

/// Guards against processes that end over datagrams of any bytes.
#[test]
fn datagrams_of_odd_bytes_are_refused_or_decoded() {
    for first in [0, 1, 2, fact_datagrams::WIRE_VERSION, 255] {
        for byte in 0..=255 {
            for length in [0, 1, 9, 64, 1_023] {
                let mut datagram = vec![first];
                datagram.extend(vec![byte; length]);
                let _decoded = fact_datagrams::decode(&datagram);
            }
        }
    }
}
