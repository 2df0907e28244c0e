//! Operators' commands against a node's administration API.

mod common;
#[path = "common/admin.rs"]
mod node;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;

use bronzelock::agreement::publish::{NotAcceptedReason, PublishOutcome};
use bronzelock::cli::operators::console::Console;
use bronzelock::cli::operators::{CliError, ExitStatus, OperatorCommand, run};
use bronzelock::model::ids::ConfigVersion;
use bronzelock::model::load::ServerState;
use bronzelock::model::names::ServiceName;
use bronzelock::model::reasons::RefusalReason;
use clap::Parser;
use common::{HERD, block_on, zone};
use node::{FakeNode, TOKEN, herd_node, serve};

#[derive(Debug, Parser)]
struct Line {
    #[command(subcommand)]
    command: OperatorCommand,
}

/// What a command printed and how it ended.
struct Ended {
    printed: String,
    asked: String,
    result: Result<(), CliError>,
}

impl Ended {
    fn status(&self) -> Option<ExitStatus> {
        self.result.as_ref().err().map(CliError::exit_status)
    }
}

/// A file that is removed with the value.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bronzelock-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let mut file = std::fs::File::create(&path).expect("a writable directory");
        file.write_all(text.as_bytes()).expect("written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path of text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let removed = std::fs::remove_file(&self.0);
        assert!(removed.is_ok(), "{removed:?}");
    }
}

async fn command(words: &[&str], typed: &str) -> Ended {
    let words = std::iter::once("bronzelock").chain(words.iter().copied());
    let line = Line::try_parse_from(words).expect("a valid command line");
    let (mut out, mut ask) = (Vec::new(), Vec::new());
    let mut input = typed.as_bytes();
    let mut console = Console {
        out: &mut out,
        ask: &mut ask,
        input: &mut input,
    };
    let result = run(line.command, &mut console).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    Ended {
        printed: text(out),
        asked: text(ask),
        result,
    }
}

/// Runs commands against one node; each comes with what the operator types.
fn commands(name: &str, node: &Arc<FakeNode>, lines: &[(&[&str], &str)]) -> Vec<Ended> {
    let token = File::new(&format!("{name}-token"), &format!("{TOKEN}\n"));
    block_on(async {
        let (address, server) = serve(node, Some(TOKEN)).await;
        let address = address.to_string();
        let mut ended = Vec::new();
        for (words, typed) in lines {
            let admin = ["--admin", &address, "--token-file", token.path()];
            ended.push(command(&[*words, &admin].concat(), typed).await);
        }
        server.abort();
        ended
    })
}

/// Runs one command against a fresh node.
fn once(name: &str, node: FakeNode, words: &[&str]) -> Ended {
    commands(name, &Arc::new(node), &[(words, "")]).remove(0)
}

cases! {
    dry_run_shows_the_difference_and_stops => {
        let file = File::new("dry.json", HERD);
        let node = Arc::new(FakeNode::default());
        let words = ["configure", "--dry-run", "--answers", file.path()];
        let ended = commands("dry", &node, &[(&words, "")]).remove(0);
        assert!(ended.result.is_ok(), "{:?}", ended.result);
        assert!(ended.printed.contains("difference to version 0:\n+ service herd: "));
        assert_eq!(node.config_now().version, ConfigVersion(0));
    }

    configure_publishes_after_a_yes => {
        let file = File::new("yes.json", HERD);
        let node = Arc::new(FakeNode::default());
        let words: &[&str] = &["configure", "--answers", file.path()];
        let ended = commands("yes", &node, &[(words, "n\n"), (words, "y\n")]);
        assert_eq!(ended[0].status(), Some(ExitStatus::Declined));
        assert!(ended[1].printed.contains("accepted as version 1"), "{}", ended[1].printed);
        let herd = ServiceName::new("herd").expect("a name");
        assert_eq!(node.config_now().services[&herd].capacity.slots, 12);
    }

    bad_answers_are_told_before_any_call => {
        let file = File::new("bad.json", &HERD.replace("\"slots\": 12", "\"slots\": 1"));
        let words = ["configure", "--answers", file.path(), "--admin", "127.0.0.1:1"];
        let ended = block_on(command(&words, ""));
        assert_eq!(ended.status(), Some(ExitStatus::BadInput));
        let text = ended.result.expect_err("cold is above slots").to_string();
        assert_eq!(text, "question cold_slots: found 2; fits: at most 1, the answer to slots");
    }

    missing_file_is_named => {
        let ended = block_on(command(&["configure", "--answers", "/nonexistent/a.json"], ""));
        let text = ended.result.expect_err("no file").to_string();
        assert!(text.starts_with("/nonexistent/a.json: "), "{text}");
    }

    zone_out_without_room_asks => {
        let file = File::new("room.json", HERD);
        let node = Arc::new(FakeNode::default());
        node.status.lock().expect("fresh").nodes = vec![herd_node("herd-1", "saraburi", 1)];
        let put: &[&str] = &["configure", "--yes", "--answers", file.path()];
        let out: &[&str] = &["zone", "out", "saraburi"];
        let back: &[&str] = &["zone", "in", "saraburi"];
        let ended = commands("room", &node, &[(put, ""), (out, ""), (out, "y\n"), (back, "")]);
        assert_eq!(ended[1].status(), Some(ExitStatus::Declined), "no answer is a no");
        let warning = "warning: service herd would keep no backend server that takes work";
        assert!(ended[1].asked.contains(warning), "{}", ended[1].asked);
        assert!(ended[2].printed.contains("accepted as version 2"), "{}", ended[2].printed);
        assert!(ended[3].printed.starts_with("accepted as version 3"), "{}", ended[3].printed);
        assert!(node.config_now().zones_out.is_empty());
    }

    yes_does_not_ask => {
        let file = File::new("noask.json", HERD);
        let node = Arc::new(FakeNode::default());
        let put: &[&str] = &["configure", "--yes", "--answers", file.path()];
        let out: &[&str] = &["zone", "out", "saraburi", "--yes"];
        let ended = commands("noask", &node, &[(put, ""), (out, "")]);
        assert!(ended[1].printed.starts_with("accepted as version 2"), "{}", ended[1].printed);
        assert!(node.config_now().zones_out.contains(&zone("saraburi")));
    }

    log_that_is_down_ends_with_its_own_code => {
        let answer = PublishOutcome::NotAccepted(NotAcceptedReason::LogDown);
        let node = FakeNode { answer: Some(answer).into(), ..FakeNode::default() };
        let ended = once("down", node, &["server", "out", "herd-1", "--yes"]);
        assert_eq!(ended.status(), Some(ExitStatus::NotAccepted));
        let text = ended.result.expect_err("refused").to_string();
        let told = "the log is down; this attempt changed nothing, \
                    an earlier one with the same id may have";
        assert!(text.contains(told), "{text}");
    }

    unknown_outcome_names_the_id_to_repeat => {
        let node = FakeNode { answer: Some(PublishOutcome::Unknown).into(), ..FakeNode::default() };
        let words = ["server", "out", "herd-1", "--yes", "--change-id", "c-7"];
        let ended = once("lost", node, &words);
        assert_eq!(ended.status(), Some(ExitStatus::Unknown));
        let text = ended.result.expect_err("unknown").to_string();
        assert!(text.ends_with("repeat with --change-id c-7"), "{text}");
    }

    node_that_cannot_be_reached_changed_nothing => {
        let ended = block_on(command(&["zone", "out", "z", "--admin", "127.0.0.1:1"], ""));
        assert_eq!(ended.status(), Some(ExitStatus::Failed));
        let text = ended.result.expect_err("nobody listens").to_string();
        assert!(text.starts_with("connecting to 127.0.0.1:1: "), "{text}");
    }

    status_is_readable => {
        let node = FakeNode::default();
        let mut cold = herd_node("herd-2", "saraburi", 3);
        cold.state = ServerState::Cold;
        cold.refusals = BTreeMap::from([(RefusalReason::ColdStart, 4)]);
        let mut status = node.status.lock().expect("fresh");
        status.version = ConfigVersion(4);
        status.log_age_ms = Some(250);
        status.nodes = vec![herd_node("herd-1", "ratchaburi", 4), cold];
        drop(status);
        insta::assert_snapshot!("status", once("status", node, &["status"]).printed);
    }

    status_and_changes_are_json_for_scripts => {
        let node = Arc::new(FakeNode::default());
        let lines: [(&[&str], &str); 3] = [
            (&["zone", "out", "saraburi", "--json"], ""),
            (&["status", "--json"], ""),
            (&["changes", "--json"], ""),
        ];
        let ended = commands("json", &node, &lines);
        let read = |index: usize| -> serde_json::Value {
            serde_json::from_str(&ended[index].printed).expect("JSON alone")
        };
        assert_eq!(read(0)["version"], 1);
        assert_eq!(read(1)["nodes"], serde_json::json!([]));
        assert_eq!(read(2)["changes"][0]["summary"], "zone saraburi out");
    }

    changes_tell_what_became_of_each => {
        let node = Arc::new(FakeNode::default());
        let named = |id: &'static str| {
            ["zone", "out", "saraburi", "--author", "ann", "--change-id", id]
        };
        let (first, second) = (named("c-1"), named("c-2"));
        let lines: [(&[&str], &str); 3] = [(&first, ""), (&second, ""), (&["changes"], "")];
        let ended = commands("changes", &node, &lines);
        insta::assert_snapshot!("changes", ended[2].printed);
    }

    questionnaire_needs_no_node => {
        let ended = block_on(command(&["questionnaire"], ""));
        assert!(ended.printed.contains("1. Which service do the answers describe?"));
        let ended = block_on(command(&["questionnaire", "--json"], ""));
        let questions: serde_json::Value = serde_json::from_str(&ended.printed).expect("JSON");
        assert_eq!(questions[0]["key"], "service");
    }
}
