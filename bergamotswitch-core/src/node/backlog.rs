//! Provides the backlog of a host's event loop: the inputs that have arrived and wait to
//! be processed, and the order in which they are.
//!
//! A host that gets more than its processor bears falls behind. Control comes first, so
//! that it stays in the fleet and learns of changes; then what ends or continues admitted
//! work, which is bounded by what was admitted; then requests to admit more, by tier. If
//! the delay lasts, requests of the lowest tier that have waited too long are refused
//! without being processed: a request costs most when it is queued and granted, and late
//! work that is admitted keeps the host behind after the load has fallen.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::{HostIncarnation, HostName};
use crate::link::{LinkEvent, LinkMessage};
use crate::permit::OwnerMessage;
use crate::request::AttemptId;
use crate::rules::Tier;

/// The delay of requests that is tolerated for any time.
const TARGET_DELAY: Duration = Duration::from_millis(100);

/// How long requests have to be delayed until some are refused. A delay that ends by
/// itself, as after a single large input, refuses nothing.
const DELAY_INTERVAL: Duration = Duration::from_millis(300);

/// The number of requests that are refused for each one that is processed: refusals must
/// not hold up the others either.
const MAX_REFUSALS_IN_TURN: u32 = 8;

/// Of this many processed requests, one is the oldest of all tiers, so that lower tiers
/// are served while higher ones alone keep the processor busy.
const OLDEST_TURN: u32 = 4;

/// An `InputRole` is what the backlog has to know of an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputRole<'a> {
    /// Membership, published values, health checks and signals.
    Control,
    /// The link to a peer is down: its requests that wait cannot be answered.
    LinkDown(&'a HostIncarnation),
    /// Ends or continues admitted work.
    Progress,
    /// Cancels a permit request.
    Withdrawal(AttemptId),
    /// Belongs to the next permit request of a peer.
    Announcement(&'a HostName),
    /// A peer's permit request.
    PermitRequest(&'a HostName, AttemptId, Tier),
    /// A caller's request.
    Submission(Tier),
}

/// A `LoopInput` is an input of a host's event loop.
pub trait LoopInput {
    /// Get the input's role.
    fn role(&self) -> InputRole<'_>;
}

impl LoopInput for LinkEvent {
    fn role(&self) -> InputRole<'_> {
        let (sender, message) = match self {
            LinkEvent::Up(_) => return InputRole::Control,
            LinkEvent::Down(remote) => return InputRole::LinkDown(remote),
            LinkEvent::Message(remote, message) => (&remote.host, message),
        };
        match message {
            LinkMessage::Heartbeat(_)
            | LinkMessage::Ownership(_)
            | LinkMessage::Revision(_)
            | LinkMessage::Crashes(_) => InputRole::Control,
            LinkMessage::ToOwner(OwnerMessage::PermitRequest(request)) => {
                InputRole::PermitRequest(sender, request.attempt, request.tier)
            }
            LinkMessage::ToOwner(OwnerMessage::Signature { .. } | OwnerMessage::Stream { .. }) => {
                InputRole::Announcement(sender)
            }
            LinkMessage::ToOwner(OwnerMessage::Withdraw { attempt, .. }) => {
                InputRole::Withdrawal(*attempt)
            }
            LinkMessage::ToOwner(_) | LinkMessage::FromOwner(_) => InputRole::Progress,
        }
    }
}

/// A `NextInput` is the next input to process.
#[derive(Debug, PartialEq, Eq)]
pub struct NextInput<T> {
    /// What the sender of a permit request announced with it, to be processed first.
    pub announcements: Vec<T>,
    /// The input.
    pub input: T,
    /// When it arrived.
    pub arrived: Moment,
    /// Whether it is a request that is to be refused.
    pub is_overdue: bool,
}

impl<T> NextInput<T> {
    fn new(input: T, arrived: Moment) -> Self {
        NextInput {
            announcements: Vec::new(),
            input,
            arrived,
            is_overdue: false,
        }
    }
}

/// A `WaitingRequest` is a request that waits to be processed.
#[derive(Debug)]
struct WaitingRequest<T> {
    next: NextInput<T>,
    attempt: Option<AttemptId>,
}

/// A `RequestKey` is the position of a waiting request: its tier and its number.
type RequestKey = (Tier, u64);

/// An `InputBacklog` is the inputs that wait for a host's event loop.
#[derive(Debug)]
pub struct InputBacklog<T> {
    control: VecDeque<(Moment, T)>,
    progress: VecDeque<(Moment, T)>,
    requests: BTreeMap<RequestKey, WaitingRequest<T>>,
    /// The tiers of the waiting requests by number, oldest first.
    by_age: BTreeMap<u64, Tier>,
    by_attempt: HashMap<AttemptId, RequestKey>,
    /// What peers announced of their next permit requests.
    announced: BTreeMap<HostName, Vec<T>>,
    number: u64,
    turn: u32,
    refused_in_turn: u32,
    /// Since when the oldest request has waited longer than [`TARGET_DELAY`].
    late_since: Option<Moment>,
}

impl<T> Default for InputBacklog<T> {
    fn default() -> Self {
        InputBacklog {
            control: VecDeque::new(),
            progress: VecDeque::new(),
            requests: BTreeMap::new(),
            by_age: BTreeMap::new(),
            by_attempt: HashMap::new(),
            announced: BTreeMap::new(),
            number: 0,
            turn: 0,
            refused_in_turn: 0,
            late_since: None,
        }
    }
}

impl<T: LoopInput> InputBacklog<T> {
    /// Get the number of waiting inputs.
    pub fn len(&self) -> usize {
        self.control.len() + self.progress.len() + self.requests.len()
    }

    /// Get whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Add an input that has arrived.
    pub fn push(&mut self, now: Moment, input: T) {
        match input.role() {
            InputRole::Control => self.control.push_back((now, input)),
            InputRole::LinkDown(remote) => {
                let remote = remote.clone();
                self.drop_requests(&remote);
                self.control.push_back((now, input));
            }
            InputRole::Progress => self.progress.push_back((now, input)),
            InputRole::Withdrawal(attempt) => {
                // The owner may know an earlier copy of the request.
                if let Some(key) = self.by_attempt.get(&attempt).copied() {
                    self.take(key);
                }
                self.progress.push_back((now, input));
            }
            InputRole::Announcement(sender) => {
                let sender = sender.clone();
                self.announced.entry(sender).or_default().push(input);
            }
            InputRole::PermitRequest(sender, attempt, tier) => {
                let announcements = self.announced.remove(sender).unwrap_or_default();
                if !self.by_attempt.contains_key(&attempt) {
                    self.push_request(now, tier, Some(attempt), announcements, input);
                }
            }
            InputRole::Submission(tier) => self.push_request(now, tier, None, Vec::new(), input),
        }
    }

    /// Get the next input to process.
    pub fn next(&mut self, now: Moment) -> Option<NextInput<T>> {
        let first = self.control.pop_front();
        if let Some((arrived, input)) = first.or_else(|| self.progress.pop_front()) {
            return Some(NextInput::new(input, arrived));
        }
        self.update_lateness(now);
        if let Some(key) = self.request_to_refuse(now) {
            self.refused_in_turn += 1;
            let overdue = self.take(key)?.next;
            return Some(NextInput {
                is_overdue: true,
                ..overdue
            });
        }
        self.refused_in_turn = 0;
        self.turn = (self.turn + 1) % OLDEST_TURN;
        let key = match self.turn {
            0 => self.oldest()?,
            _ => *self.requests.first_key_value()?.0,
        };
        Some(self.take(key)?.next)
    }

    /// Get the oldest request.
    fn oldest(&self) -> Option<RequestKey> {
        let (number, tier) = self.by_age.first_key_value()?;
        Some((*tier, *number))
    }

    fn update_lateness(&mut self, now: Moment) {
        let oldest = self.oldest().and_then(|key| self.requests.get(&key));
        match oldest.is_some_and(|request| is_late(now, request)) {
            true => self.late_since = self.late_since.or(Some(now)),
            false => self.late_since = None,
        }
    }

    /// Get the request to refuse: the oldest one of the lowest tier, if requests have been
    /// late for long and this one is.
    fn request_to_refuse(&self, now: Moment) -> Option<RequestKey> {
        let late_since = self.late_since?;
        if now.since(late_since) < DELAY_INTERVAL || self.refused_in_turn >= MAX_REFUSALS_IN_TURN {
            return None;
        }
        let ((lowest, _), _) = self.requests.last_key_value()?;
        let mut of_lowest = self.requests.range((*lowest, 0)..);
        let (key, request) = of_lowest.next()?;
        is_late(now, request).then_some(*key)
    }

    fn push_request(
        &mut self,
        now: Moment,
        tier: Tier,
        attempt: Option<AttemptId>,
        announcements: Vec<T>,
        input: T,
    ) {
        self.number += 1;
        let key = (tier, self.number);
        if let Some(attempt) = attempt {
            self.by_attempt.insert(attempt, key);
        }
        self.by_age.insert(self.number, tier);
        let next = NextInput {
            announcements,
            ..NextInput::new(input, now)
        };
        let request = WaitingRequest { next, attempt };
        self.requests.insert(key, request);
    }

    fn take(&mut self, key: RequestKey) -> Option<WaitingRequest<T>> {
        let request = self.requests.remove(&key)?;
        self.by_age.remove(&key.1);
        if let Some(attempt) = &request.attempt {
            self.by_attempt.remove(attempt);
        }
        Some(request)
    }

    /// Drop the permit requests of a peer, which sends them again over a new link.
    fn drop_requests(&mut self, remote: &HostIncarnation) {
        self.announced.remove(&remote.host);
        let attempts = self.by_attempt.iter();
        let own = attempts.filter(|(attempt, _)| attempt.request.incarnation == remote.incarnation);
        let keys: Vec<RequestKey> = own.map(|(_, key)| *key).collect();
        for key in keys {
            self.take(key);
        }
    }
}

fn is_late<T>(now: Moment, request: &WaitingRequest<T>) -> bool {
    now.since(request.next.arrived) > TARGET_DELAY
}
