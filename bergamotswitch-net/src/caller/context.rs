//! Provides what the handlers of callers' requests share.

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
use crate::input::{HostSelf, NodeInput, NodeSender};
use crate::metrics::NodeMetrics;

/// How long a connection to a request's holder may take: it is one round
/// trip, and a caller waits meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a caller's body may pause. A connection that went silent for
/// good would otherwise hold its part of the body for ever.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A `CallerOptions` is what may be chosen about the callers' interface.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Whether the operators' routes stand beside the callers'.
    pub operator_routes: bool,
    /// How long a connection to a request's holder may take.
    pub connect_timeout: Duration,
    /// How long a caller's body may pause.
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
    /// Set whether the operators' routes stand beside the callers'.
    pub fn with_operator_routes(mut self, present: bool) -> Self {
        self.operator_routes = present;
        self
    }

    /// Set how long a connection to a request's holder may take.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set how long a caller's body may pause.
    pub fn with_body_idle_timeout(mut self, span: Duration) -> Self {
        self.body_idle_timeout = span;
        self
    }
}

/// A `CallerContext` is what every handler of callers' requests needs.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// The loop's inbox.
    pub node: NodeSender,
    /// What is in force.
    pub publication: watch::Receiver<Arc<Publication>>,
    /// This process.
    pub this_host: HostSelf,
    /// The host's metrics.
    pub metrics: Arc<NodeMetrics>,
    /// What was chosen.
    pub opts: CallerOptions,
}

impl CallerContext {
    /// Get what is in force now.
    pub(crate) fn current_publication(&self) -> Arc<Publication> {
        Arc::clone(&self.publication.borrow())
    }

    /// Try to get the client account whose bearer key the fields carry.
    ///
    /// # Errors
    ///
    /// Returns a refusal where this host has no configuration yet, or where
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

    /// Write a refusal that was made before the loop knew of the call, and have
    /// it counted there.
    pub(super) fn reject(&self, page: &RefusalPage, res: &mut Response) {
        self.count_rejection(page);
        page.write(res);
    }

    /// Have a refusal counted that was made before the loop knew of the call.
    pub(super) fn count_rejection(&self, page: &RefusalPage) {
        let rejection = NodeInput::Turned(page.reason(), None);
        // Without a loop nobody reads the counters either.
        let _ = self.node.send(rejection);
    }
}

/// Get the refusal where the loop is gone before it heard of a request.
pub(super) fn loop_stopped() -> RefusalPage {
    let refusal = Refusal::before_acceptance(RefusalReason::Stopping);
    RefusalPage::new(refusal.with_retry_after(STOPPING_RETRY_AFTER))
}

/// Get the refusal where the loop dropped a request that it had.
pub(super) fn answer_dropped() -> RefusalPage {
    RefusalPage::new(Refusal::may_have_run(RefusalReason::Lost))
}
