//! `configure`: checks answers, shows what would change and publishes it.

use hyper::Method;
use hyper::header::HeaderMap;

use super::client::Call;
use super::console::Console;
use super::error::{AnswerList, CliError, read_file};
use super::publish::{Submission, publish};
use super::{ConfigureArgs, client};
use crate::operators::admin_api::documents::PreviewDocument;
use crate::operators::answers::from_json;

/// Runs the command.
pub async fn run(args: ConfigureArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    let text = read_file(&args.answers)?;
    let answers = from_json(&text).map_err(|errors| CliError::Answers(AnswerList(errors)))?;
    let client = client(&args.admin)?;
    let call = Call {
        method: Method::POST,
        path: "/v1/preview",
        headers: HeaderMap::new(),
        body: text.clone(),
    };
    let preview = client.versioned::<PreviewDocument>(call).await?;
    if !args.admin.json || args.dry_run {
        show(&preview.document, args.admin.json, console)?;
    }
    if args.dry_run {
        return Ok(());
    }
    if !args.change.yes && !console.agrees("Publish?")? {
        return Err(CliError::Declined);
    }
    let path = format!(
        "/v1/services/{}/branches/{}",
        answers.service, answers.branch
    );
    let submission = Submission {
        method: Method::PUT,
        path: &path,
        body: text,
        base: preview.version,
    };
    publish(&client, &submission, &args.admin, args.change, console).await
}

fn show(preview: &PreviewDocument, json: bool, console: &mut Console<'_>) -> Result<(), CliError> {
    if json {
        return console.json(preview);
    }
    console.line("generated service:")?;
    console.json(&preview.service)?;
    console.line(&format!(
        "difference to version {}:\n{}",
        preview.base, preview.difference
    ))?;
    for notice in &preview.notices {
        console.line(&format!("notice: {notice}"))?;
    }
    Ok(())
}
