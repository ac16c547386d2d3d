//! Provides the registry of a host's links: who may link, which link to each
//! peer is in use, and what the loop is told of it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamotswitch_core::host::{HostIncarnation, HostName};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use tokio::sync::watch;

use super::counters::{LinkCounters, MessageKind};
use super::handshake::{Hello, LinkKey, LinkRole, PeerRefusal};
use super::options::LinkOptions;
use super::queue::{QueuedFrame, SendQueue};
use super::value_frames::ValueFrameCache;
use crate::event_log;
use crate::input::{HostIdentity, NodeInput, NodeSender};

mod guard;

pub(crate) use guard::LinkGuard;

/// Refusals are logged at most once in this time: strangers that connect in
/// a loop must not fill the log. The counters count each one.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A `SessionCommand` is what the registry wants of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionCommand {
    /// Carry messages.
    Run,
    /// Send nothing more, read on for a while: another session to the same
    /// run took over.
    Yield,
    /// End.
    Close,
}

/// An `ActiveLink` is the link to one peer that is in use.
#[derive(Debug)]
struct ActiveLink {
    session: u64,
    incarnation: HostIncarnation,
    /// The newest set of messages that the peer knows.
    message_set: u16,
    role: LinkRole,
    established_at: Instant,
    queue: Arc<SendQueue>,
    command: watch::Sender<SessionCommand>,
    /// A session that yielded to this one. What the peer sent over it goes
    /// before what it sends over this one, so it counts until that comes.
    yielded: Option<u64>,
}

#[derive(Debug, Default)]
struct RegistryState {
    roster: BTreeSet<HostName>,
    key: Option<LinkKey>,
    links: BTreeMap<HostName, ActiveLink>,
    sessions: u64,
    counters: LinkCounters,
    refusal_logged: Option<Instant>,
    value_frames: ValueFrameCache,
}

/// A `LinkRegistry` is what all tasks of a host's links share.
#[derive(Debug)]
pub(crate) struct LinkRegistry {
    pub(crate) identity: HostIdentity,
    pub(crate) opts: LinkOptions,
    node: NodeSender,
    state: Mutex<RegistryState>,
    changes: watch::Sender<()>,
}

impl LinkRegistry {
    pub(crate) fn new(identity: HostIdentity, opts: LinkOptions, node: NodeSender) -> Self {
        LinkRegistry {
            identity,
            opts,
            node,
            state: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, event: LinkEvent) {
        // The loop is gone only while the process ends.
        let _ = self.node.send(NodeInput::Link(event));
    }

    /// Set who may link. Links to hosts that may not any more are closed.
    pub(crate) fn set_roster(&self, hosts: BTreeSet<HostName>, key: LinkKey) {
        let mut state = self.lock();
        state.roster = hosts;
        state.key = (!key.is_empty()).then_some(key);
        for (host, link) in &state.links {
            if !state.roster.contains(host) {
                link.command.send_replace(SessionCommand::Close);
            }
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Get the key to use with `host`.
    pub(crate) fn admit(&self, host: &HostName) -> Result<LinkKey, PeerRefusal> {
        let state = self.lock();
        let key = state.key.as_ref().ok_or(PeerRefusal::NotReady)?;
        if state.roster.is_empty() {
            return Err(PeerRefusal::NotReady);
        }
        // A peer with this host's own name is a fault of the settings: two
        // processes would answer to one name.
        if !state.roster.contains(host) || *host == self.identity.incarnation.host {
            return Err(PeerRefusal::UnknownHost(host.clone()));
        }
        Ok(key.clone())
    }

    fn is_linked(&self, incarnation: &HostIncarnation) -> bool {
        let state = self.lock();
        state
            .links
            .get(&incarnation.host)
            .is_some_and(|link| link.incarnation == *incarnation)
    }

    /// Wait until `host` may link and has no link.
    pub(crate) async fn wait_until_dialable(&self, host: &HostName) {
        let mut changes = self.changes.subscribe();
        while self.admit(host).is_err() || self.lock().links.contains_key(host) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Try to make a session the link to its peer; `None` where the link that
    /// is there stays.
    pub(crate) fn register(self: &Arc<Self>, hello: &Hello, role: LinkRole) -> Option<LinkGuard> {
        let incarnation = hello.incarnation();
        let mut state = self.lock();
        let known = state.links.get(&incarnation.host);
        let same_incarnation = known.filter(|link| link.incarnation == *incarnation);
        if same_incarnation.is_some_and(|link| !self.replaces(link, role)) {
            return None;
        }
        // A link of the same run hands its queue on: the peer was up and
        // stays up, and what waits keeps its order.
        let queue = match same_incarnation {
            Some(link) => Arc::clone(&link.queue),
            None => Arc::new(SendQueue::new(self.opts.send_queue_bytes)),
        };
        let yielded = same_incarnation.map(|link| link.session);
        let lost = same_incarnation.is_some_and(|link| self.is_lost_at_peer(link, role));
        state.sessions += 1;
        let link = ActiveLink {
            session: state.sessions,
            incarnation: incarnation.clone(),
            message_set: hello.message_set(),
            role,
            established_at: Instant::now(),
            queue,
            command: watch::Sender::new(SessionCommand::Run),
            yielded,
        };
        let guard = self.guard(&link, link.session, link.command.subscribe());
        let previous = state.links.insert(incarnation.host.clone(), link);
        match (previous, yielded) {
            (Some(previous), Some(_)) => {
                previous.command.send_replace(SessionCommand::Yield);
                if lost {
                    self.notify(LinkEvent::Up(incarnation.clone()));
                }
            }
            (Some(previous), None) => {
                previous.command.send_replace(SessionCommand::Close);
                state.counters.dropped += previous.queue.clear() as u64;
                self.notify(LinkEvent::Down(previous.incarnation));
                self.notify(LinkEvent::Up(incarnation.clone()));
            }
            (None, _) => self.notify(LinkEvent::Up(incarnation.clone())),
        }
        drop(state);
        self.changes.send_replace(());
        Some(guard)
    }

    /// Get the guard of a dialled session that found another one to the same
    /// run in use: it yields from the start. `None` where that one is gone.
    ///
    /// To close the dialled connection at once would go wrong: its acceptor
    /// may have it in use and not yet know of the other one, and would take
    /// the peer as down. It closes when both sides have settled.
    pub(crate) fn register_yielded(
        self: &Arc<Self>,
        incarnation: &HostIncarnation,
    ) -> Option<LinkGuard> {
        let mut state = self.lock();
        state.sessions += 1;
        let session = state.sessions;
        let link = state.links.get_mut(&incarnation.host)?;
        if link.incarnation != *incarnation {
            return None;
        }
        link.yielded = link.yielded.or(Some(session));
        let commands = watch::Sender::new(SessionCommand::Yield).subscribe();
        Some(self.guard(link, session, commands))
    }

    fn guard(
        self: &Arc<Self>,
        link: &ActiveLink,
        session: u64,
        commands: watch::Receiver<SessionCommand>,
    ) -> LinkGuard {
        LinkGuard {
            registry: Arc::clone(self),
            session,
            incarnation: link.incarnation.clone(),
            queue: Arc::clone(&link.queue),
            commands,
        }
    }

    /// Get whether a new session says that the peer has lost `link`. What this
    /// host sent over it since may be lost, too, so its loop has to hear of a link
    /// anew: otherwise asks, releases and keys would be missing at the peer until
    /// they are sent again in their turn.
    ///
    /// A host dials only while it has no link. So it lost this one where it
    /// dialled that as well, and where the new session comes later than any
    /// attempt which began before `link` was up.
    fn is_lost_at_peer(&self, link: &ActiveLink, role: LinkRole) -> bool {
        role == link.role || link.established_at.elapsed() > self.opts.dial_timeout()
    }

    /// Get whether a new session of the same run takes the place of `link`.
    fn replaces(&self, link: &ActiveLink, role: LinkRole) -> bool {
        // This host still waits for a PING over one that the peer has lost.
        if self.is_lost_at_peer(link, role) {
            return true;
        }
        // Both sides dialled: each must keep the same one of the two, or each
        // closes the one that the other keeps, and no link stays.
        let dialler_preferred = self.identity.incarnation.host < link.incarnation.host;
        (role == LinkRole::Dialler) == dialler_preferred
    }

    fn unregister(&self, host: &HostName, session: u64) {
        let mut state = self.lock();
        let current = state.links.get(host).map(|link| link.session);
        if current != Some(session) {
            return;
        }
        if let Some(link) = state.links.remove(host) {
            state.counters.dropped += link.queue.clear() as u64;
            self.notify(LinkEvent::Down(link.incarnation));
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Close the link to `host` where this host dialled it.
    pub(crate) fn stop_dialled(&self, host: &HostName) {
        let state = self.lock();
        if let Some(link) = state.links.get(host)
            && link.role == LinkRole::Dialler
        {
            link.command.send_replace(SessionCommand::Close);
        }
    }

    /// Queue a message; `false` where no link takes it.
    pub(crate) fn send(&self, host: &HostName, message: &LinkMessage) -> bool {
        let kind = MessageKind::of(message);
        let mut state = self.lock();
        let encoded = state.value_frames.encode(message);
        let (Some(link), Ok(bytes)) = (state.links.get(host), encoded) else {
            state.counters.dropped += 1;
            return false;
        };
        // An older host takes it for no message and drops the link: one would
        // see links break at each planned stop while a fleet is replaced.
        if message.message_set() > link.message_set {
            state.counters.dropped += 1;
            return false;
        }
        if link.queue.push(QueuedFrame { kind, bytes }) {
            return true;
        }
        // The peer does not read. To wait on would cost memory without bound;
        // to drop single messages would leave gaps that the peer can't see.
        // Closing the link tells both sides, and clears the queue.
        let incarnation = link.incarnation.clone();
        link.command.send_replace(SessionCommand::Close);
        let session = link.session;
        state.counters.dropped += 1;
        state.counters.overflows += 1;
        drop(state);
        let pairs: [(&str, &dyn Display); 2] =
            [("peer", &incarnation), ("cause", &"send queue full")];
        event_log::write(Incident::ConnectionSilent, &pairs);
        self.unregister(host, session);
        false
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut LinkCounters)) {
        count(&mut self.lock().counters);
    }

    pub(crate) fn counters(&self) -> LinkCounters {
        self.lock().counters.clone()
    }

    /// Count a refused connection, and log it.
    pub(crate) fn record_refusal(&self, refusal: &PeerRefusal, address: &str) {
        let mut state = self.lock();
        state.counters.refused.add(refusal);
        self.log_refusal(state, &[("peer", &address), ("cause", refusal)]);
    }

    /// Count that a peer refused this host, and log it.
    pub(crate) fn record_refused_by(&self, host: &HostName, text: &str) {
        let mut state = self.lock();
        state.counters.refused_by_peers += 1;
        self.log_refusal(state, &[("by", host), ("cause", &text)]);
    }

    fn log_refusal(
        &self,
        mut state: MutexGuard<'_, RegistryState>,
        pairs: &[(&str, &dyn Display)],
    ) {
        let recent = state.refusal_logged.map(|at| at.elapsed());
        if recent.is_some_and(|age| age < REFUSAL_LOG_INTERVAL) {
            return;
        }
        state.refusal_logged = Some(Instant::now());
        drop(state);
        event_log::write(Incident::PeerRefused, pairs);
    }
}
