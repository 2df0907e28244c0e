//! Settings that a node refuses: each problem names path, found and allowed.

use std::path::PathBuf;
use std::process::Command;

use serde_json::{Value, json};

/// Exit code for bad input.
const EXIT_BAD_INPUT: i32 = 2;

fn fitting() -> Value {
    json!({
        "node": {"server": "herd-1", "region": "thailand", "zone": "saraburi"},
        "caller": {"listen": "127.0.0.1:9"},
        "announce": {"listen": "127.0.0.1:9"},
        "peer": {"listen": "127.0.0.1:9", "token": "a token of all the nodes"},
        "log": {"address": "127.0.0.1:9"},
        "membership": {"listen": "127.0.0.1:9"},
    })
}

/// The fitting settings with one value replaced.
fn with(part: &str, key: &str, value: Value) -> String {
    let mut settings = fitting();
    settings[part][key] = value;
    settings.to_string()
}

/// What `node` prints about a settings file that it refuses.
fn refusal(name: &str, text: impl AsRef<str>) -> String {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, text.as_ref()).expect("settings are written");
    let output = Command::new(env!("CARGO_BIN_EXE_bronzelock"))
        .args(["node", "--settings"])
        .arg(&file)
        .env("RUST_LOG", "info")
        .output()
        .expect("the binary runs");
    assert_eq!(output.status.code(), Some(EXIT_BAD_INPUT), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stderr).expect("text");
    assert!(
        !printed.contains("listening"),
        "nothing is started: {printed}"
    );
    printed
}

macro_rules! refused {
    ($($name:ident: $text:expr;)+) => {
        $(#[test] fn $name() { insta::assert_snapshot!(refusal(stringify!($name), $text)); })+
    };
}

refused! {
    unknown_key: with("caller", "lisen", json!("127.0.0.1:9"));
    unknown_part: { let mut s = fitting(); s["extra"] = json!({}); s.to_string() };
    wrong_type: with("caller", "head_timeout_ms", json!("soon"));
    wrong_address: with("peer", "listen", json!("here"));
    wrong_name: with("node", "zone", json!("Sara Buri"));
    missing_key: json!({"node": {"server": "herd-1", "region": "thailand"}}).to_string();
    missing_part: json!({"node": {"server": "a", "region": "b", "zone": "c"}}).to_string();
    out_of_range: with("probe", "period_ms", json!(1));
    several_out_of_range: {
        let mut s = fitting();
        s["node"]["threads"] = json!(0);
        s["ticket"]["lifetime_ms"] = json!(1);
        s["peer"]["message_bytes_max"] = json!(1);
        s.to_string()
    };
    negative_number: with("caller", "body_bytes_max", json!(-1));
    impossible_pair: with("node", "leave_notice_ms", json!(40_000));
    same_stream_twice: with("log", "member_stream", json!("bronzelock-config"));
    short_token: with("peer", "token", json!("short"));
    open_admin_without_token: with("admin", "listen", json!("0.0.0.0:9"));
    not_json: "node = herd-1";
    text_after_the_end: format!("{} {{}}", fitting());
    empty_file: "";
}

#[test]
fn the_settings_that_the_cases_change_fit() {
    bronzelock::settings::check::parse(&fitting().to_string()).expect("they fit");
}
