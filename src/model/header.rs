//! Headers of HTTP messages.

use bytes::Bytes;

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name as it came; names compare without regard to case.
    pub name: String,
    /// Value as it came.
    pub value: Bytes,
}

impl Header {
    /// A header made of texts.
    pub fn new(name: &str, value: impl Into<Bytes>) -> Self {
        Self {
            name: name.to_owned(),
            value: value.into(),
        }
    }

    /// Whether the header bears this name.
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Value of the first header of that name, when it is text.
pub fn text_of<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.is_named(name))?;
    std::str::from_utf8(&header.value).ok().map(str::trim)
}
