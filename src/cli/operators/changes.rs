//! `changes`: recent changes and what became of them.

use super::console::Console;
use super::error::CliError;
use super::{ChangesArgs, client};
use crate::agreement::outcome::{Outcome, OutcomeEntry};
use crate::operators::admin_api::documents::ChangesDocument;

/// Runs the command.
pub async fn run(args: &ChangesArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    let document: ChangesDocument = client(&args.admin)?.get("/v1/changes").await?;
    if args.admin.json {
        return console.json(&document);
    }
    for entry in &document.changes {
        console.line(&line(entry))?;
    }
    Ok(())
}

fn line(entry: &OutcomeEntry) -> String {
    let outcome = match &entry.outcome {
        Outcome::Accepted(version) => format!("accepted as version {version}"),
        Outcome::Rejected(rejection) => format!(
            "rejected at version {}: change {} of {} was first",
            rejection.version, rejection.winner, rejection.winner_author
        ),
        Outcome::Invalid(version) => format!("does not fit version {version}"),
    };
    let OutcomeEntry {
        id,
        author,
        summary,
        ..
    } = entry;
    format!("{id} by {author}: {summary}: {outcome}")
}
