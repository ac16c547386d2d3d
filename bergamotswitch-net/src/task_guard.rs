//! Provides a guard for tasks that must not outlive their owner.

use std::future::Future;

use tokio::task::AbortHandle;

/// A `TaskGuard` aborts its task when dropped. Otherwise a task that waits on
/// an unresponsive connection would never end and would keep its socket open.
#[derive(Debug)]
pub(crate) struct TaskGuard(AbortHandle);

impl TaskGuard {
    /// Spawn a task. Must be called on a tokio runtime.
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
