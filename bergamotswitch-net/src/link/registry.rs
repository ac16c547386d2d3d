//! Provides the registry of a host's links: the hosts that may link, the active link to
//! each peer, and the link events sent to the event loop.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
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
use crate::tunnel::TunnelCount;

mod guard;

pub(crate) use guard::LinkGuard;

/// The minimum interval between logged refusals, so that repeated connections of an
/// unknown process do not fill the log. Every refusal is counted.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A `SessionCommand` is an instruction of the registry to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionCommand {
    /// Send and receive messages.
    Run,
    /// Stop sending and continue to receive for a while, because another session to
    /// the same incarnation has taken over.
    Yield,
    /// Close the session.
    Close,
}

/// An `ActiveLink` is the active link to one peer.
#[derive(Debug)]
struct ActiveLink {
    session: u64,
    incarnation: HostIncarnation,
    /// The newest message set that the peer supports.
    message_set: u16,
    role: LinkRole,
    established_at: Instant,
    queue: Arc<SendQueue>,
    command: watch::Sender<SessionCommand>,
    /// The session that yielded to this one. Its messages precede those of this
    /// session, so they are delivered until the first message on this session.
    yielded: Option<u64>,
}

#[derive(Debug, Default)]
struct RegistryState {
    /// The hosts that may link, with their addresses for it.
    allowed_hosts: BTreeMap<HostName, SocketAddr>,
    key: Option<LinkKey>,
    links: BTreeMap<HostName, ActiveLink>,
    sessions: u64,
    counters: LinkCounters,
    refusal_logged: Option<Instant>,
    value_frames: ValueFrameCache,
}

/// A `LinkRegistry` is the state shared by all tasks of a host's links.
#[derive(Debug)]
pub(crate) struct LinkRegistry {
    pub(crate) identity: HostIdentity,
    pub(crate) opts: LinkOptions,
    node: NodeSender,
    state: Mutex<RegistryState>,
    changes: watch::Sender<()>,
    tunnels: TunnelCount,
}

impl LinkRegistry {
    pub(crate) fn new(identity: HostIdentity, opts: LinkOptions, node: NodeSender) -> Self {
        LinkRegistry {
            identity,
            opts,
            node,
            state: Mutex::default(),
            changes: watch::Sender::new(()),
            tunnels: TunnelCount::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, event: LinkEvent) {
        // Sending fails only if the event loop has ended.
        let _ = self.node.send(NodeInput::Link(event));
    }

    /// Set the hosts that may link and the key. Links to other hosts are closed.
    pub(crate) fn set_host_list(&self, hosts: BTreeMap<HostName, SocketAddr>, key: LinkKey) {
        let mut state = self.lock();
        state.allowed_hosts = hosts;
        state.key = (!key.is_empty()).then_some(key);
        for (host, link) in &state.links {
            if !state.allowed_hosts.contains_key(host) {
                link.command.send_replace(SessionCommand::Close);
            }
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Get the key to use with `host`, or the reason why the host is refused.
    pub(crate) fn admit(&self, host: &HostName) -> Result<LinkKey, PeerRefusal> {
        let state = self.lock();
        let key = state.key.as_ref().ok_or(PeerRefusal::NotReady)?;
        if state.allowed_hosts.is_empty() {
            return Err(PeerRefusal::NotReady);
        }
        // A peer with this host's own name is a configuration error: two processes
        // have the same name.
        if !state.allowed_hosts.contains_key(host) || *host == self.identity.incarnation.host {
            return Err(PeerRefusal::UnknownHost(host.clone()));
        }
        Ok(key.clone())
    }

    /// Get the address to which peers connect at a host.
    pub(crate) fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.lock().allowed_hosts.get(host).copied()
    }

    /// Get the tunnels that peers have open at this host.
    pub(crate) fn tunnels(&self) -> &TunnelCount {
        &self.tunnels
    }

    fn is_linked(&self, incarnation: &HostIncarnation) -> bool {
        let state = self.lock();
        state
            .links
            .get(&incarnation.host)
            .is_some_and(|link| link.incarnation == *incarnation)
    }

    /// Wait until `host` may link and has no active link.
    pub(crate) async fn wait_until_dialable(&self, host: &HostName) {
        let mut changes = self.changes.subscribe();
        while self.admit(host).is_err() || self.lock().links.contains_key(host) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Try to register a session as the active link to its peer. Returns `None` if the
    /// existing link stays active.
    pub(crate) fn register(self: &Arc<Self>, hello: &Hello, role: LinkRole) -> Option<LinkGuard> {
        let incarnation = hello.incarnation();
        let mut state = self.lock();
        let known = state.links.get(&incarnation.host);
        let same_incarnation = known.filter(|link| link.incarnation == *incarnation);
        if same_incarnation.is_some_and(|link| !self.replaces(link, role)) {
            return None;
        }
        // The new session continues the queue of a link to the same incarnation: the
        // peer stays up, and queued messages keep their order.
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

    /// Get the guard of a dialled session that yields from the start, because another
    /// session to the same incarnation is active. Returns `None` if that session has
    /// ended.
    ///
    /// The dialled connection must not be closed immediately: the acceptor may use it
    /// as its active link and not know the other one yet, and would report the peer as
    /// down. It is closed once both sides use the same session.
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

    /// Get whether a new session with this role shows that the peer has lost `link`.
    /// Messages sent on the link may then be lost, so the event loop must receive
    /// another up event: otherwise permit requests, releases and keys would be missing
    /// at the peer until their regular retransmission.
    ///
    /// A host dials only while it has no link. The peer has therefore lost `link` if
    /// the same side dialled both, or if the new session comes later than any attempt
    /// started before `link` was established.
    fn is_lost_at_peer(&self, link: &ActiveLink, role: LinkRole) -> bool {
        role == link.role || link.established_at.elapsed() > self.opts.dial_timeout()
    }

    /// Get whether a new session to the same incarnation replaces `link`.
    fn replaces(&self, link: &ActiveLink, role: LinkRole) -> bool {
        // The peer has lost the link before this host detected it by PING.
        if self.is_lost_at_peer(link, role) {
            return true;
        }
        // Both sides dialled. They must keep the same connection: otherwise each would
        // close the one that the other keeps, and no link would remain.
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

    /// Close the link to `host` if this host dialled it.
    pub(crate) fn stop_dialled(&self, host: &HostName) {
        let state = self.lock();
        if let Some(link) = state.links.get(host)
            && link.role == LinkRole::Dialler
        {
            link.command.send_replace(SessionCommand::Close);
        }
    }

    /// Queue a message. Returns `false` if it cannot be sent.
    pub(crate) fn send(&self, host: &HostName, message: &LinkMessage) -> bool {
        let kind = MessageKind::of(message);
        let mut state = self.lock();
        let message_set = state.links.get(host).map_or(0, |link| link.message_set);
        let message = message.for_message_set(message_set);
        let encoded = state.value_frames.encode(&message);
        let (Some(link), Ok(bytes)) = (state.links.get(host), encoded) else {
            state.counters.dropped += 1;
            return false;
        };
        // A peer of an older release would reject the unknown message and close the
        // link, so links would break during a rolling upgrade.
        if message.message_set() > link.message_set {
            state.counters.dropped += 1;
            return false;
        }
        if link.queue.push(QueuedFrame { kind, bytes }) {
            return true;
        }
        // The peer does not read. Queueing more would use unbounded memory, and
        // dropping single messages would leave undetected gaps. Closing the link makes
        // the loss visible to both sides and clears the queue.
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

    /// Count and log a connection refused by this host.
    pub(crate) fn record_refusal(&self, refusal: &PeerRefusal, address: &str) {
        let mut state = self.lock();
        state.counters.refused.add(refusal);
        self.log_refusal(state, &[("peer", &address), ("cause", refusal)]);
    }

    /// Count and log a connection refused by a peer.
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
