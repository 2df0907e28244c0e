//! Numbers in the query of a URI.

use hyper::Uri;

/// Why a query cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum QueryError {
    /// query {name} is {found:?}; use a whole number from 0
    NotANumber {
        /// Name of the query parameter.
        name: &'static str,
        /// Text found.
        found: String,
    },
}

impl std::error::Error for QueryError {}

/// Finds the text of a query parameter.
pub fn text<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let query = uri.query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Finds the number of a query parameter.
///
/// # Errors
/// [`QueryError`] when the parameter is there and is no whole number.
pub fn number(uri: &Uri, name: &'static str) -> Result<Option<u64>, QueryError> {
    let Some(found) = text(uri, name) else {
        return Ok(None);
    };
    match found.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(QueryError::NotANumber {
            name,
            found: found.to_owned(),
        }),
    }
}
