//! Tasks that the kernel spawns and joins.

use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

/// Every task of the node; the kernel joins them all before it ends.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    tracker: TaskTracker,
}

impl Tasks {
    /// Spawns a task that the kernel will join.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        drop(self.tracker.spawn(task));
    }

    /// Spawns a task that the kernel will join and that its owner may end.
    pub fn spawn_abortable(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tracker.spawn(task).abort_handle()
    }

    /// Waits until every task has ended.
    pub async fn join(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
