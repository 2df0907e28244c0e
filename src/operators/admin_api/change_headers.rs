//! Headers that every change bears.

use std::sync::Arc;

use warp::http::header::{HeaderMap, HeaderName, IF_MATCH};

use super::problem::{Problem, ProblemKind};
use super::{AUTHOR_HEADER, CHANGE_ID_HEADER, CONFIRM_HEADER, CONFIRM_VALUE};
use crate::model::ids::{ChangeId, ConfigVersion};

/// Longest change id and author, in bytes.
const HEADER_TEXT_BYTES_MAX: usize = 128;
/// Author of a change whose client names none.
const DEFAULT_AUTHOR: &str = "operator";

/// What the headers of a change say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeHeaders {
    /// Version that the author built on.
    pub base: ConfigVersion,
    /// Id of the change.
    pub id: ChangeId,
    /// Who asks.
    pub author: Arc<str>,
    /// Whether warnings were seen and accepted.
    pub confirmed: bool,
}

impl ChangeHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    /// [`Problem`] for what is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, Problem> {
        let id = text_of(headers, &HeaderName::from_static(CHANGE_ID_HEADER))?;
        let Some(id) = id else {
            let detail = "name the change by the header Bronzelock-Change-Id, so that a repeat \
                      after a lost answer is the same change";
            return Err(Problem::new(ProblemKind::BadRequest, detail));
        };
        let author = text_of(headers, &HeaderName::from_static(AUTHOR_HEADER))?;
        let confirm = text_of(headers, &HeaderName::from_static(CONFIRM_HEADER))?;
        Ok(Self {
            base: read_base(headers)?,
            id: ChangeId(Arc::from(id)),
            author: Arc::from(author.unwrap_or(DEFAULT_AUTHOR)),
            confirmed: confirm == Some(CONFIRM_VALUE),
        })
    }
}

fn read_base(headers: &HeaderMap) -> Result<ConfigVersion, Problem> {
    let Some(value) = text_of(headers, &IF_MATCH)? else {
        let detail = "state the version you build on by If-Match, as ETag gave it";
        return Err(Problem::new(ProblemKind::BaseMissing, detail));
    };
    let digits = value
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'));
    let version = digits.and_then(|digits| digits.parse().ok());
    version.map(ConfigVersion).ok_or_else(|| {
        let detail = format!("If-Match {value} is no version such as \"12\"");
        Problem::new(ProblemKind::BadRequest, detail)
    })
}

fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= HEADER_TEXT_BYTES_MAX => Ok(Some(text)),
        _ => {
            let detail = format!(
                "header {name} is not 1 to {HEADER_TEXT_BYTES_MAX} visible ASCII characters"
            );
            Err(Problem::new(ProblemKind::BadRequest, detail))
        }
    }
}
