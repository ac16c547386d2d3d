//! Provides the state machine of the roster.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::known_member::KnownMember;
use super::{MemberFlags, MemberMark, MemberRecord, RosterAction, RosterMessage, RosterOptions};
use crate::clock::Moment;
use crate::host::{EntryHost, HostList, HostName, Standing};

/// The maximum number of marks in one message. With the sender's record they
/// fit into one unfragmented datagram.
const MARKS_PER_MESSAGE: usize = 100;

/// The maximum number of records in one message, for the same reason.
const RECORDS_PER_MESSAGE: usize = 8;

/// Every so many rounds, messages also go to a seed and to a silent host, so
/// that two halves of a fleet find each other again after a partition.
const ROUNDS_PER_REJOIN: u64 = 4;

/// A `Roster` is the set of hosts in the fleet as known to this host by gossip.
#[derive(Debug)]
pub struct Roster {
    own_host: EntryHost,
    flags: MemberFlags,
    opts: RosterOptions,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<HostName, KnownMember>,
    names: BTreeMap<u32, HostName>,
    /// Added to the time since the process's start to get this host's stamp.
    stamp_base: u64,
    round_at: Moment,
    rounds: u64,
    draws: u64,
    seed: u64,
    reported: HostList,
}

impl Roster {
    /// Create the roster of a host that has just started. `stamp_base` is the
    /// time of day in milliseconds at the process's start; `seed` seeds the
    /// random choice of recipients.
    pub fn new(own_host: EntryHost, seeds: Vec<SocketAddr>, stamp_base: u64, seed: u64) -> Self {
        Roster {
            own_host,
            flags: MemberFlags::default(),
            opts: RosterOptions::default(),
            seeds,
            members: BTreeMap::new(),
            names: BTreeMap::new(),
            stamp_base,
            round_at: Moment::START,
            rounds: 0,
            draws: 0,
            seed,
            reported: HostList::default(),
        }
    }

    /// Set the options.
    pub fn with_options(mut self, opts: RosterOptions) -> Self {
        self.opts = opts;
        self
    }

    /// Replace the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Set this host's flags. A change is sent at once, so that callers are not
    /// directed to a stopping host.
    pub fn set_flags(&mut self, now: Moment, flags: MemberFlags) {
        if flags != self.flags {
            self.discount_pause(now);
            self.flags = flags;
            self.round_at = now;
        }
    }

    /// Get the time of the next round.
    pub fn next_wake(&self) -> Moment {
        self.round_at
    }

    /// Exclude from the silence of the other hosts the time by which this
    /// host's round is overdue.
    ///
    /// A process that gets no CPU for a second receives no messages. If that
    /// counted as silence of the others, it would consider itself alone when it
    /// resumes: it would act as a second owner and refuse waiting requests
    /// until their next messages arrive. Only the delay beyond one round
    /// interval is excluded. A host whose rounds are always late, for lack of
    /// CPU time, detects failures of others later, after at most twice the
    /// timeout.
    fn discount_pause(&mut self, now: Moment) {
        let paused_for = now.since(self.next_round_deadline());
        if paused_for.is_zero() {
            return;
        }
        let silent_after = self.silent_after();
        for member in self.members.values_mut() {
            member.discount(now, paused_for, silent_after);
        }
        self.round_at = now;
    }

    /// Get the time by which the next round should have run; past it, this host
    /// counts as paused.
    fn next_round_deadline(&self) -> Moment {
        self.round_at.plus(self.opts.round_interval)
    }

    /// Reset the silence of all other hosts after a pause of this process,
    /// which is no evidence against them.
    pub fn resume(&mut self, now: Moment) {
        for member in self.members.values_mut() {
            member.record_heard(now);
        }
        self.round_at = now;
    }

    /// Run a round, if one is due, and get the messages to send.
    pub fn tick(&mut self, now: Moment) -> Vec<RosterAction> {
        if now < self.round_at {
            return Vec::new();
        }
        self.discount_pause(now);
        self.round_at = now.plus(self.opts.round_interval);
        self.rounds += 1;
        let forget_after = self.opts.forget_after;
        self.members
            .retain(|_, member| now.since(member.heard_at) < forget_after);
        let recipients = self.round_recipients(now);
        let message = self.message(now, Vec::new(), Vec::new());
        recipients
            .into_iter()
            .map(|to| RosterAction {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Handle a message and get the answer, if one is needed.
    pub fn handle(&mut self, now: Moment, message: RosterMessage) -> Vec<RosterAction> {
        self.discount_pause(now);
        let sender = message.sender;
        let to = sender.host.link_address;
        let sender_stamp = sender.stamp;
        let is_new = !self.members.contains_key(&sender.host.name);
        self.merge_record(now, sender);
        for record in message.records {
            self.merge_record(now, record);
        }
        let mut wants = Vec::new();
        for mark in message.marks {
            if !self.merge_mark(now, sender_stamp, mark) {
                wants.push(mark.id);
            }
        }
        wants.truncate(RECORDS_PER_MESSAGE);
        let records = self.records_of(now, &message.wants);
        if wants.is_empty() && records.is_empty() && !is_new {
            return Vec::new();
        }
        let message = self.message(now, records, wants);
        vec![RosterAction { to, message }]
    }

    /// Get the hosts that are live, including this one.
    pub fn hosts(&self, now: Moment) -> HostList {
        let mut hosts: Vec<EntryHost> = self
            .live(now)
            .map(|member| host_with_standing(&member.record))
            .collect();
        hosts.push(host_with_standing(&self.own_record(now)));
        hosts.sort_by(|first, second| first.name.cmp(&second.name));
        HostList {
            hosts,
            targets: Vec::new(),
        }
    }

    /// Get whether another host is known, or enough time has passed to conclude
    /// that there is none. A host that accepted callers before it knows the
    /// fleet size would use the whole fleet's quotas alone.
    pub fn is_discovery_complete(&self, now: Moment) -> bool {
        !self.members.is_empty() || now.since(Moment::START) >= self.opts.alone_after
    }

    /// Get the live hosts, if they have changed since the last call.
    pub fn changed_hosts(&mut self, now: Moment) -> Option<HostList> {
        let hosts = self.hosts(now);
        if hosts == self.reported {
            return None;
        }
        self.reported = hosts.clone();
        Some(hosts)
    }

    /// Get the hosts that accept callers, including this one if it does.
    pub fn ready_hosts(&self, now: Moment) -> Vec<EntryHost> {
        let own = self.own_record(now);
        let others = self.live(now).map(|member| &member.record);
        others
            .chain(std::iter::once(&own))
            .filter(|record| record.flags.ready && !record.flags.leaving)
            .map(|record| record.host.clone())
            .collect()
    }

    /// Get, for each other host that has left and not returned, when it was
    /// first reported as leaving. A stopping host announces that it is leaving
    /// and falls silent when it ends.
    pub fn leave_times(&self) -> impl Iterator<Item = Moment> {
        self.members
            .values()
            .filter_map(|member| member.leaving_since)
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &KnownMember> {
        let members = self.members.values();
        members.filter(move |member| self.is_heard(now, member))
    }

    fn is_heard(&self, now: Moment, member: &KnownMember) -> bool {
        now.min(self.next_round_deadline()).since(member.heard_at) < self.silent_after()
    }

    /// Get the time after which a silent host does not count as live.
    fn silent_after(&self) -> Duration {
        self.opts.silent_after(self.members.len() + 1)
    }

    fn own_stamp(&self, now: Moment) -> u64 {
        self.stamp_base + now.as_micros() / 1_000
    }

    fn own_record(&self, now: Moment) -> MemberRecord {
        MemberRecord {
            host: self.own_host.clone(),
            stamp: self.own_stamp(now),
            flags: self.flags,
        }
    }

    fn message(
        &mut self,
        now: Moment,
        records: Vec<MemberRecord>,
        wants: Vec<u32>,
    ) -> RosterMessage {
        let sender = self.own_record(now);
        let skip = self.draw(self.members.len());
        let known = self.members.values().cycle().skip(skip);
        let marks = known
            .take(self.members.len())
            .filter(|member| self.is_heard(now, member))
            .take(MARKS_PER_MESSAGE)
            .map(|member| MemberMark {
                id: MemberMark::id_of(&member.record.host.name),
                behind: sender.stamp.wrapping_sub(member.record.stamp) as i64,
                flags: member.record.flags,
            })
            .collect();
        RosterMessage {
            sender,
            marks,
            records,
            wants,
        }
    }

    fn records_of(&self, now: Moment, ids: &[u32]) -> Vec<MemberRecord> {
        let known = ids.iter().filter_map(|id| {
            let member = self.members.get(self.names.get(id)?)?;
            self.is_heard(now, member).then(|| member.record.clone())
        });
        known.take(RECORDS_PER_MESSAGE).collect()
    }

    /// Merge a mark. Get whether its host is known.
    fn merge_mark(&mut self, now: Moment, sender_stamp: u64, mark: MemberMark) -> bool {
        if mark.id == MemberMark::id_of(&self.own_host.name) {
            self.raise_stamp(now, sender_stamp.wrapping_sub(mark.behind as u64));
            return true;
        }
        let Some(name) = self.names.get(&mark.id) else {
            return false;
        };
        let Some(member) = self.members.get_mut(name) else {
            return false;
        };
        let stamp = sender_stamp.wrapping_sub(mark.behind as u64);
        if stamp > member.record.stamp {
            member.record.stamp = stamp;
            member.record.flags = mark.flags;
            member.record_heard(now);
            member.update_leaving(now);
        }
        true
    }

    fn merge_record(&mut self, now: Moment, record: MemberRecord) {
        if record.host.name == self.own_host.name {
            self.raise_stamp(now, record.stamp);
            return;
        }
        let name = record.host.name.clone();
        let known = self.members.get(&name);
        if known.is_some_and(|known| known.record.stamp >= record.stamp) {
            return;
        }
        let leaving_since = known.and_then(|known| known.leaving_since);
        self.names.insert(MemberMark::id_of(&name), name.clone());
        let mut member = KnownMember {
            record,
            heard_at: now,
            discounted: Duration::ZERO,
            leaving_since,
        };
        member.update_leaving(now);
        self.members.insert(name, member);
    }

    /// Keep this host's stamp above the one that others hold. After a restart
    /// with the clock set back, others would ignore updates of the new
    /// incarnation as older than those of the previous one, and consider this
    /// host silent.
    fn raise_stamp(&mut self, now: Moment, stamp: u64) {
        let own = self.own_stamp(now);
        if stamp > own {
            self.stamp_base += stamp - own + 1;
            self.round_at = now;
        }
    }

    /// Get the recipients of this round: some live hosts, or all seeds if there
    /// are none; every few rounds also a seed and a silent host.
    fn round_recipients(&mut self, now: Moment) -> Vec<SocketAddr> {
        let mut live: Vec<SocketAddr> = self.live(now).map(address_of).collect();
        if live.is_empty() {
            return self.other_seeds();
        }
        let mut recipients = Vec::new();
        for _ in 0..self.opts.fanout.min(live.len()) {
            let index = self.draw(live.len());
            recipients.push(live.swap_remove(index));
        }
        if self.rounds.is_multiple_of(ROUNDS_PER_REJOIN) {
            let silent = self.members.values();
            let silent = silent.filter(|member| !self.is_heard(now, member));
            let silent: Vec<SocketAddr> = silent.map(address_of).collect();
            recipients.extend(self.pick(silent));
            let seeds = self.other_seeds();
            recipients.extend(self.pick(seeds));
        }
        recipients
    }

    fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds
            .filter(|seed| *seed != self.own_host.link_address)
            .collect()
    }

    fn pick(&mut self, addresses: Vec<SocketAddr>) -> Option<SocketAddr> {
        let index = self.draw(addresses.len());
        addresses.get(index).copied()
    }

    /// Get a pseudo-random number below `count`, or 0 if `count` is 0.
    fn draw(&mut self, count: usize) -> usize {
        self.draws += 1;
        let mut bytes = self.seed.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.draws.to_le_bytes());
        let number = xxh3_64(&bytes).checked_rem(count as u64);
        number.unwrap_or(0) as usize
    }
}

fn address_of(member: &KnownMember) -> SocketAddr {
    member.record.host.link_address
}

fn host_with_standing(record: &MemberRecord) -> EntryHost {
    EntryHost {
        standing: match record.flags.leaving {
            true => Standing::Leaving,
            false => Standing::Live,
        },
        ..record.host.clone()
    }
}
