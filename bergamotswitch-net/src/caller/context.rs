//! Provides the state shared by the handlers of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::entry::STOPPING_RETRY_AFTER;
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use http::HeaderMap;
use salvo::Response;
use tokio::sync::watch;

use super::fields;
use super::refusal_page::RefusalPage;
use crate::input::{HostIdentity, NodeInput, NodeSender};
use crate::metrics::NodeMetrics;

/// The default timeout of a connection to the host that holds a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The default idle timeout of a request body. Without it a dead connection
/// would hold its partial body in memory forever.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A `CallerOptions` is the set of options of the callers' HTTP interface.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Whether the operators' routes are served as well.
    pub operator_routes: bool,
    /// The timeout of a connection to the host that holds a request.
    pub connect_timeout: Duration,
    /// The longest time without data while a request body is read.
    pub body_idle_timeout: Duration,
}

impl Default for CallerOptions {
    fn default() -> Self {
        CallerOptions {
            operator_routes: true,
            connect_timeout: CONNECT_TIMEOUT,
            body_idle_timeout: BODY_IDLE_TIMEOUT,
        }
    }
}

impl CallerOptions {
    /// Set whether the operators' routes are served as well.
    pub fn with_operator_routes(mut self, present: bool) -> Self {
        self.operator_routes = present;
        self
    }

    /// Set the timeout of a connection to the host that holds a request.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set the longest time without data while a request body is read.
    pub fn with_body_idle_timeout(mut self, span: Duration) -> Self {
        self.body_idle_timeout = span;
        self
    }
}

/// A `CallerContext` is the state shared by the handlers of callers' requests.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// The sender to the event loop.
    pub node: NodeSender,
    /// The configuration in force.
    pub publication: watch::Receiver<Arc<Publication>>,
    /// The incarnation and the failure domain of this host.
    pub this_host: HostIdentity,
    /// The host's metrics.
    pub metrics: Arc<NodeMetrics>,
    /// The options of the interface.
    pub opts: CallerOptions,
}

impl CallerContext {
    /// Get the configuration that is in force now.
    pub(crate) fn current_publication(&self) -> Arc<Publication> {
        Arc::clone(&self.publication.borrow())
    }

    /// Try to get the client account whose bearer key the header fields have.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this host has no complete configuration yet, or if
    /// no account has the key.
    pub(super) fn authenticate(
        &self,
        publication: &Publication,
        headers: &HeaderMap,
    ) -> Result<AccountName, RefusalPage> {
        let missing = publication.missing();
        if !missing.is_empty() {
            return Err(RefusalPage::before_acceptance(RefusalReason::NotReady));
        }
        let account = fields::bearer_key(headers)
            .and_then(|key| publication.accounts.authenticate(key))
            .map(|account| account.name.clone());
        account.ok_or_else(|| RefusalPage::before_acceptance(RefusalReason::UnknownAccount))
    }

    /// Write a refusal made before the request was submitted to the event loop,
    /// and report it to the event loop's counters.
    pub(super) fn reject(&self, page: &RefusalPage, res: &mut Response) {
        self.count_rejection(page);
        page.write(res);
    }

    /// Report a refusal made before the request was submitted to the event
    /// loop, so that it is counted.
    pub(super) fn count_rejection(&self, page: &RefusalPage) {
        let rejection = NodeInput::EarlyRefusal(page.reason(), None);
        // Sending fails only if the event loop has ended, when nothing is
        // counted any more.
        let _ = self.node.send(rejection);
    }
}

/// Get the refusal of a request that the event loop could not receive because
/// it has ended.
pub(super) fn loop_stopped() -> RefusalPage {
    let refusal = Refusal::before_acceptance(RefusalReason::Stopping);
    RefusalPage::new(refusal.with_retry_after(STOPPING_RETRY_AFTER))
}

/// Get the refusal of a request that the event loop received and dropped
/// without an answer.
pub(super) fn answer_dropped() -> RefusalPage {
    RefusalPage::new(Refusal::may_have_run(RefusalReason::Lost))
}
