//! Where commands print and ask.

use std::io::{BufRead, Write};

use serde::Serialize;

use super::error::CliError;

/// Output for results, and a place of their own for questions and warnings.
pub struct Console<'a> {
    /// Takes results, which scripts read.
    pub out: &'a mut (dyn Write + Send),
    /// Takes questions and warnings.
    pub ask: &'a mut (dyn Write + Send),
    /// Gives the operator's answers.
    pub input: &'a mut (dyn BufRead + Send),
}

impl std::fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Console")
    }
}

impl Console<'_> {
    /// Prints one text and ends the line.
    ///
    /// # Errors
    /// [`CliError::Output`] when nobody reads.
    pub fn line(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.out, "{text}").map_err(CliError::Output)
    }

    /// Prints a document as JSON.
    ///
    /// # Errors
    /// [`CliError::Output`] when nobody reads.
    ///
    /// # Panics
    /// Never in practice: documents have text keys.
    pub fn json(&mut self, document: &impl Serialize) -> Result<(), CliError> {
        let text = serde_json::to_string_pretty(document).expect("documents have text keys");
        self.line(&text)
    }

    /// Shows a warning.
    ///
    /// # Errors
    /// [`CliError::Output`] when nobody reads.
    pub fn warn(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.ask, "warning: {text}").map_err(CliError::Output)
    }

    /// Asks a question; only `y` and `yes` agree, also at the end of input.
    ///
    /// # Errors
    /// [`CliError::Output`] when the question cannot be shown or the answer not read.
    pub fn agrees(&mut self, question: &str) -> Result<bool, CliError> {
        write!(self.ask, "{question} [y/N] ").map_err(CliError::Output)?;
        self.ask.flush().map_err(CliError::Output)?;
        let mut answer = String::new();
        self.input
            .read_line(&mut answer)
            .map_err(CliError::Output)?;
        Ok(matches!(answer.trim(), "y" | "yes"))
    }
}
