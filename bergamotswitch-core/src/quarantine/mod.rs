//! Provides the quarantine of requests whose runs end with the crash of their target.
//!
//! A run that breaks counts as a crash of its target under all that the request has in
//! common with others: the call as a whole and the parts of its prompt. One crash proves
//! nothing, as a target takes all its runs with it. A suspect whose runs keep breaking,
//! without one that went well, and whose crashes no likelier suspect explains, is
//! quarantined: requests that have it are refused for a while, and then one is admitted as
//! a trial.

mod blame;
mod report;
mod sound_runs;
mod suspect;
mod suspect_record;
mod table;
mod trial;

pub use blame::CulpritGroup;
pub use report::{BrokenRun, CrashReport};
pub use suspect::{CrashSuspect, RequestSuspects};
pub use table::{CrashTable, PendingReport, QuarantineChange};
pub use trial::{Admission, TrialPrecedence};
