//! Parsing and checking of settings, and the problems found in them.

use std::fmt;
use std::ops::RangeInclusive;

/// One invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, such as `peer.token`.
    pub path: String,
    /// The value found, or what is wrong with it.
    pub found: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}; allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

/// All problems of one settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn add(&mut self, path: &str, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.0.push(Problem {
            path: path.to_owned(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Adds a problem if `value` is outside `range`.
    pub fn check_range(&mut self, path: &str, value: u64, range: RangeInclusive<u64>) {
        if !range.contains(&value) {
            self.add(path, value, format!("{} to {}", range.start(), range.end()));
        }
    }

    /// Adds a problem if `low` is greater than `high`.
    pub fn check_order(&mut self, low_path: &str, low: u64, high_path: &str, high: u64) {
        if low > high {
            self.add(
                low_path,
                low,
                format!("at most {high_path}, which is {high}"),
            );
        }
    }

    /// Whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Parses and checks the settings of a node.
///
/// # Errors
/// [`Problems`] lists every invalid setting, or the one problem that prevented parsing.
pub fn parse(text: &str) -> Result<super::NodeSettings, Problems> {
    let settings: super::NodeSettings = parse_json(text)?;
    let problems = settings.check();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

/// Parses a JSON document.
///
/// # Errors
/// [`Problems`] with one entry: the path of the key, what was found and what is allowed.
pub fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Problems> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer);
    let settings: T = parsed.map_err(|error| parse_problem(&error))?;
    if let Err(error) = deserializer.end() {
        let mut problems = Problems::default();
        problems.add(".", error, "nothing after the closing brace");
        return Err(problems);
    }
    Ok(settings)
}

/// Reads the text of a settings file.
///
/// # Errors
/// [`Problems`] with one entry if the file cannot be read.
pub fn read_text(path: &std::path::Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|error| {
        let mut problems = Problems::default();
        problems.add(&path.display().to_string(), error, "a readable JSON file");
        problems
    })
}

fn parse_problem(error: &serde_path_to_error::Error<serde_json::Error>) -> Problems {
    let mut problems = Problems::default();
    let path = error.path().to_string();
    let inner = error.inner();
    let text = inner.to_string();
    let text = text.split(" at line ").next().unwrap_or(&text);
    if inner.is_syntax() || inner.is_eof() {
        let found = format!("{text} at line {}, column {}", inner.line(), inner.column());
        problems.add(&path, found, "one JSON object");
    } else if let Some(field) = missing_field(text) {
        let path = if path == "." {
            field.to_owned()
        } else {
            format!("{path}.{field}")
        };
        problems.add(&path, "nothing", "a value; it has no default");
    } else {
        let (found, allowed) = found_and_allowed(text);
        problems.add(&path, found, allowed);
    }
    problems
}

/// Extracts the name of a missing field from a parser message.
fn missing_field(text: &str) -> Option<&str> {
    text.strip_prefix("missing field `")?.strip_suffix('`')
}

/// Splits a parser message into what was found and what is allowed.
fn found_and_allowed(text: &str) -> (&str, &str) {
    if text == "invalid socket address syntax" {
        return (text, "an IP number and a port, such as 127.0.0.1:7001");
    }
    text.split_once(", expected ")
        .or_else(|| text.split_once("; "))
        .unwrap_or((text, "see docs/operators"))
}
