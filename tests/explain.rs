//! One request's path, told from the logs of several nodes.

use bronzelock::operators::explain::Trails;

const ENTRY_LOG: &str = r#"   3.1 sidecar-a {"time_ms":1000,"event":"retried","host":"a","id":"7","from":"10.0.0.2","to":"own","arrivals":0}
{"time_ms":1200,"event":"refused","host":"a","id":"7","reason":"no-server","not_run":true}
{"time_ms":1100,"event":"store-lost","host":"a","part":"operator log"}
{"time_ms":90000,"event":"store-regained","host":"a","part":"operator log"}
{"event":"lines-dropped","count":3}
"#;

const GATE_LOG: &str = r#"{"time_ms":990,"event":"missed","host":"b","id":"7","step":"admit","reason":"queue-full"}
{"time_ms":991,"event":"missed","host":"b","id":"8","step":"admit","reason":"queue-full"}
not a line of a log
"#;

fn trails() -> Trails {
    let mut trails = Trails::default();
    trails.read(ENTRY_LOG);
    trails.read(GATE_LOG);
    trails
}

#[test]
fn the_path_is_told_in_order_with_what_changed_at_its_hosts() {
    insta::assert_snapshot!(trails().explain("7"));
}

#[test]
fn a_trail_that_a_kill_cut_off_says_so() {
    insta::assert_snapshot!(trails().explain("8"));
}

#[test]
fn an_unknown_request_says_why_no_line_may_name_it() {
    insta::assert_snapshot!(trails().explain("9"));
}

#[test]
fn dropped_lines_are_told_by_event_and_a_rejection_ends_a_trail() {
    let mut trails = Trails::default();
    trails.read(
        r#"{"time_ms":1000,"event":"rejected","host":"a","id":"7","status":431,"reason":"long-head"}
{"event":"lines-dropped","count":3,"by_event":{"no-route":2,"rejected":1}}
"#,
    );
    let told = trails.explain("7");
    for part in [
        "a rejected reason=\"long-head\" status=431",
        "the trail ends with the answer to the caller",
        "  2 of them no-route\n  1 of them rejected\n",
    ] {
        assert!(told.contains(part), "{told}");
    }
}
