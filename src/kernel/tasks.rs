//! A set of tasks that can be joined.

use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Set of spawned tasks that the node joins before it ends.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    tracker: TaskTracker,
}

impl Tasks {
    /// Spawns a task that the node will join.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        drop(self.tracker.spawn(task));
    }

    /// Spawns a task that the node will join, and returns a handle to abort it.
    pub fn spawn_abortable(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tracker.spawn(task).abort_handle()
    }

    /// Returns a guard that [`Self::join`] waits for as for a task.
    pub fn hold(&self) -> TaskTrackerToken {
        self.tracker.token()
    }

    /// Waits until all tasks have ended.
    pub async fn join(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
