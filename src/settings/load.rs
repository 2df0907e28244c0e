//! Reading of a node's settings file.

use std::path::Path;

use super::NodeSettings;
use super::check::{self, Problems};

/// Reads and checks the settings file at `path`.
///
/// # Errors
/// [`Problems`] lists the invalid settings; a file that cannot be read is one problem.
pub fn read(path: &Path) -> Result<NodeSettings, Problems> {
    check::parse(&check::read_text(path)?)
}
