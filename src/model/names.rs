//! Validated names. They are immutable and share their text, so cloning is cheap.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Error from validating a name.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum NameError {
    /// name is empty; use 1 to 64 of a-z, 0-9, '-', '.' and '_'
    Empty,
    /// name has {0} bytes; use at most 64
    TooLong(usize),
    /// name holds {0:?}; use only a-z, 0-9, '-', '.' and '_'
    BadCharacter(char),
}

impl std::error::Error for NameError {}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed =
        |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.' | '_');
    match text.chars().find(|c| !allowed(c)) {
        Some(bad) => Err(NameError::BadCharacter(bad)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            /// [`NameError`] if the text is empty, too long or contains an invalid character.
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name_type! {
    /// Name of a service, such as `herd`.
    ServiceName
}
name_type! {
    /// Name of a branch: a customer team with a fair share of a service.
    BranchName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a backend server and of the node that runs beside it.
    ServerName
}
