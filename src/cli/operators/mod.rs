//! Operators' commands: thin clients of the administration API.

mod changes;
pub mod client;
mod configure;
pub mod console;
mod error;
mod publish;
mod status;
mod take_out;

use std::io::{self, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};

pub use self::error::{CliError, ExitStatus};

use self::client::AdminClient;
use self::console::Console;
use super::EXIT_FAILED;
use crate::model::names::{ServerName, ZoneName};
use crate::operators::questionnaire;

/// Address of the administration API unless another is named.
pub const DEFAULT_ADMIN_ADDRESS: &str = "127.0.0.1:7070";

/// Commands of operators.
#[derive(Debug, Clone, Subcommand)]
pub enum OperatorCommand {
    /// Print the questions that a new team answers.
    Questionnaire(QuestionnaireArgs),
    /// Generate a service from answers and put it in force.
    Configure(ConfigureArgs),
    /// Take an availability zone out of service or bring it back.
    Zone(ZoneArgs),
    /// Take a backend server out of service or bring it back.
    Server(ServerArgs),
    /// Show every node: version, state, load and refusals.
    Status(StatusArgs),
    /// Show recent changes and what became of them.
    Changes(ChangesArgs),
}

/// How to reach the administration API.
#[derive(Debug, Clone, Args)]
pub struct AdminArgs {
    /// Address of any node's administration API.
    #[arg(long, value_name = "ADDR", default_value = DEFAULT_ADMIN_ADDRESS)]
    pub admin: SocketAddr,
    /// File with the operators' token.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Print JSON for scripts.
    #[arg(long)]
    pub json: bool,
}

/// How a change is published.
#[derive(Debug, Clone, Args)]
pub struct ChangeArgs {
    /// Go on without asking.
    #[arg(long)]
    pub yes: bool,
    /// Name that others read when this change wins a race.
    #[arg(long, value_name = "NAME", default_value_t = default_author())]
    pub author: String,
    /// Id of an earlier try whose outcome is unknown; drawn anew unless given.
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
}

/// Arguments of `questionnaire`.
#[derive(Debug, Clone, Args)]
pub struct QuestionnaireArgs {
    /// Print JSON for scripts.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `configure`.
#[derive(Debug, Clone, Args)]
pub struct ConfigureArgs {
    /// File with the answers as JSON.
    #[arg(long, value_name = "FILE")]
    pub answers: PathBuf,
    /// Show what would change and stop.
    #[arg(long)]
    pub dry_run: bool,
    /// How to reach the administration API.
    #[command(flatten)]
    pub admin: AdminArgs,
    /// How the change is published.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `zone`.
#[derive(Debug, Clone, Args)]
pub struct ZoneArgs {
    /// Out or in.
    #[arg(value_enum)]
    pub direction: Direction,
    /// Availability zone.
    pub name: ZoneName,
    /// How to reach the administration API.
    #[command(flatten)]
    pub admin: AdminArgs,
    /// How the change is published.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `server`.
#[derive(Debug, Clone, Args)]
pub struct ServerArgs {
    /// Out or in.
    #[arg(value_enum)]
    pub direction: Direction,
    /// Backend server.
    pub name: ServerName,
    /// How to reach the administration API.
    #[command(flatten)]
    pub admin: AdminArgs,
    /// How the change is published.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Whether something leaves service or comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Direction {
    /// Take out of service.
    Out,
    /// Bring back.
    In,
}

/// Arguments of `status`.
#[derive(Debug, Clone, Args)]
pub struct StatusArgs {
    /// Print again every second until interrupted.
    #[arg(long)]
    pub watch: bool,
    /// How to reach the administration API.
    #[command(flatten)]
    pub admin: AdminArgs,
}

/// Arguments of `changes`.
#[derive(Debug, Clone, Args)]
pub struct ChangesArgs {
    /// How to reach the administration API.
    #[command(flatten)]
    pub admin: AdminArgs,
}

/// Runs one command with the terminal and gives the process's exit code.
pub fn run_in_terminal(command: OperatorCommand) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let mut input = BufReader::new(io::stdin());
    let (mut out, mut ask) = (io::stdout(), io::stderr());
    let mut console = Console {
        out: &mut out,
        ask: &mut ask,
        input: &mut input,
    };
    match runtime.block_on(run(command, &mut console)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_status() as u8)
        }
    }
}

/// Runs one command.
///
/// # Errors
/// [`CliError`], whose [`CliError::exit_status`] is the process's exit code.
pub async fn run(command: OperatorCommand, console: &mut Console<'_>) -> Result<(), CliError> {
    match command {
        OperatorCommand::Questionnaire(args) => print_questions(&args, console),
        OperatorCommand::Configure(args) => configure::run(args, console).await,
        OperatorCommand::Zone(args) => {
            let path = format!("/v1/zones/{}/out", args.name);
            take_out::run(args.direction, &path, &args.admin, args.change, console).await
        }
        OperatorCommand::Server(args) => {
            let path = format!("/v1/servers/{}/out", args.name);
            take_out::run(args.direction, &path, &args.admin, args.change, console).await
        }
        OperatorCommand::Status(args) => status::run(args, console).await,
        OperatorCommand::Changes(args) => changes::run(&args, console).await,
    }
}

/// Name of the operator's account, as far as the shell tells it.
fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_unset| "operator".to_owned())
}

fn print_questions(args: &QuestionnaireArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    if args.json {
        return console.json(&questionnaire::QUESTIONS);
    }
    console.line(&questionnaire::as_text())
}

fn client(args: &AdminArgs) -> Result<AdminClient, CliError> {
    let token = args
        .token_file
        .as_deref()
        .map(error::read_file)
        .transpose()?;
    Ok(AdminClient::new(
        args.admin,
        token.as_deref().map(str::trim),
    ))
}
