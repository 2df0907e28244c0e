//! Commands of the `bronzelock` binary.

pub mod check;
pub mod explain;
pub mod host;
pub mod node;
pub mod operators;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Exit code for arguments, settings or answers that do not fit.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for a command that failed while it ran.
pub const EXIT_FAILED: u8 = 1;

/// Load balancer for servers whose load shifts in milliseconds.
#[derive(Debug, Parser)]
#[command(name = "bronzelock", version, about, long_about = None)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the node beside a backend server until SIGTERM or SIGINT.
    Node(node::NodeArguments),
    /// Run a node on a host of the users' platform until SIGTERM or SIGINT.
    Host(host::HostArguments),
    /// Tell what the logs of the hosts' nodes say of one request.
    Explain(explain::ExplainArguments),
    /// Check a settings file and start nothing.
    Check(check::CheckArguments),
    #[command(flatten)]
    Operators(operators::OperatorCommand),
}

impl Cli {
    /// Runs the command and gives the process's exit code.
    pub fn run(self) -> ExitCode {
        match self.command {
            Command::Node(arguments) => node::run(&arguments),
            Command::Host(arguments) => host::run(&arguments),
            Command::Explain(arguments) => explain::run(&arguments),
            Command::Check(arguments) => check::run(&arguments),
            Command::Operators(command) => operators::run_in_terminal(command),
        }
    }
}
