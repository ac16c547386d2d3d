//! Provides how far an open request is.

/// An `OpenStage` is how far a request is that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenStage {
    /// No target has got it.
    Waiting,
    /// It was sent to a target.
    Running,
}

impl OpenStage {
    /// Each stage.
    pub const ALL: [OpenStage; 2] = [OpenStage::Waiting, OpenStage::Running];

    /// Get its word in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            OpenStage::Waiting => "waiting",
            OpenStage::Running => "running",
        }
    }
}
