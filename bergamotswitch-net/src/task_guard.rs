//! Provides the guard of a task that must not outlive its owner.

use std::future::Future;

use tokio::task::AbortHandle;

/// A `TaskGuard` ends its task when it is dropped. A task that waits on a
/// silent connection would otherwise wait for good, and keep its socket.
#[derive(Debug)]
pub(crate) struct TaskGuard(AbortHandle);

impl TaskGuard {
    /// Start a task; must be called on a tokio runtime.
    pub(crate) fn spawn<Task>(task: Task) -> Self
    where
        Task: Future<Output = ()> + Send + 'static,
    {
        TaskGuard(tokio::spawn(task).abort_handle())
    }

    /// Get whether the task has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
