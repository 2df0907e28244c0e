//! What the administration API needs of the node that serves it.

use std::sync::Arc;

use crate::agreement::change::Change;
use crate::agreement::outcome::OutcomeEntry;
use crate::agreement::publish::PublishOutcome;
use crate::model::config::Config;
use crate::operators::status::ClusterStatus;

/// The node behind the administration API.
pub trait AdminBackend: Send + Sync + 'static {
    /// The configuration in force, or none while the node holds none yet.
    fn config(&self) -> Option<Arc<Config>>;

    /// Publishes one change and waits for its outcome.
    ///
    /// A change whose id is being published already joins that publication. The answer is
    /// [`PublishOutcome::Unknown`] when the outcome is not known in time.
    fn publish(&self, change: Change) -> impl Future<Output = PublishOutcome> + Send;

    /// Status of all nodes that are known.
    fn status(&self) -> impl Future<Output = ClusterStatus> + Send;

    /// Recent changes, the oldest first.
    fn changes(&self) -> Vec<OutcomeEntry>;
}
