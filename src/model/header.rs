//! Headers of HTTP messages.

use bytes::Bytes;

/// Memory of one header beside its name and value, in bytes.
const HEADER_BYTES: usize = 128;

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name as received; comparisons ignore its case.
    pub name: String,
    /// Value as received.
    pub value: Bytes,
}

impl Header {
    /// Creates a header.
    pub fn new(name: &str, value: impl Into<Bytes>) -> Self {
        Self {
            name: name.to_owned(),
            value: value.into(),
        }
    }

    /// Returns the memory that the header takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        HEADER_BYTES + self.name.len() + self.value.len()
    }

    /// Whether the header has this name, ignoring case.
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Trimmed value of the first header with that name, if it is valid UTF-8.
pub fn text_of<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.is_named(name))?;
    std::str::from_utf8(&header.value).ok().map(str::trim)
}
