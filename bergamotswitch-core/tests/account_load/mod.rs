//! Provides a load simulation in virtual time for the owner of a shard whose client
//! accounts send unequally many requests, with refused callers that return once.

// Each test file uses only some of the items.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::owner_bench::*;

/// The time during which the owner measures the targets' speed; it is not counted.
const WARM_UP: Duration = Duration::from_secs(3);

/// The largest fraction of its remaining time, as a divisor, that a caller waits before
/// it returns.
const RETURN_DIVISOR: u32 = 3;

/// A `RequestKind` is the cost and the time limits of one kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub cost: TokenCost,
    pub first_token_limit_ms: u32,
    pub deadline_ms: u32,
}

/// A `TierLoad` is the requests of one tier: their part of all requests and the kinds
/// that occur in it.
#[derive(Clone, Debug)]
pub struct TierLoad {
    pub tier: u8,
    pub part: u64,
    pub kinds: Vec<RequestKind>,
}

/// A `LoadPlan` is the parameters of a load simulation.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub options: OwnerOptions,
    pub targets: usize,
    pub slots: u32,
    pub tiers: Vec<TierLoad>,
    /// The part of each account in the requests, beginning at a second.
    pub accounts: Vec<(u64, Vec<u64>)>,
    /// The requests in each second.
    pub per_second: Vec<u64>,
}

/// A `CallRecord` is one call of the load.
#[derive(Clone, Copy, Debug)]
struct CallRecord {
    at: Moment,
    account: usize,
    tier: usize,
    kind: RequestKind,
    served: bool,
    returned: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Arrival(usize),
    End(usize),
}

/// A `TierResult` is how the accounts of one tier were served against their shares.
#[derive(Clone, Debug, Default)]
pub struct TierResult {
    pub calls: f64,
    pub served: f64,
    /// What accounts lack of their shares, by second, as a fraction of what was served.
    pub lacking: f64,
    /// What each account was served, divided by its shares.
    pub ratios: Vec<f64>,
}

/// An `AccountLoad` is a simulation of an owner with its targets and callers.
pub struct AccountLoad {
    plan: LoadPlan,
    owner: ShardOwner,
    events: BinaryHeap<Reverse<(Moment, LoadEvent)>>,
    calls: Vec<CallRecord>,
    running: Vec<(Permit, Usage)>,
    draw: u64,
    pub refusals: BTreeMap<RefusalReason, u64>,
    pub max_queued: usize,
}

impl AccountLoad {
    pub fn new(plan: LoadPlan) -> Self {
        let opts = plan.options.clone();
        let mut owner = ShardOwner::new(incarnation_of("owner", 1), shard(), opts, Moment::START);
        let targets = (0..plan.targets).map(|number| {
            let mut target = target(&format!("engine-{number:02}"), "d", 700_000);
            target.slots = Some(plan.slots);
            target
        });
        owner.handle(Moment::START, OwnerEvent::Targets(targets.collect()));
        AccountLoad {
            plan,
            owner,
            events: BinaryHeap::new(),
            calls: Vec::new(),
            running: Vec::new(),
            draw: 1,
            refusals: BTreeMap::new(),
            max_queued: 0,
        }
    }

    /// Draw a number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.draw = self.draw.wrapping_mul(6_364_136_223_846_793_005);
        self.draw = self.draw.wrapping_add(1_442_695_040_888_963_407);
        (self.draw >> 33) % bound
    }

    /// Draw an index by these parts.
    fn draw_part(&mut self, parts: &[u64]) -> usize {
        let mut position = self.draw(parts.iter().sum());
        for (index, part) in parts.iter().enumerate() {
            if position < *part {
                return index;
            }
            position -= part;
        }
        0
    }

    fn draw_calls(&mut self) {
        let tiers: Vec<u64> = self.plan.tiers.iter().map(|tier| tier.part).collect();
        for (second, count) in self.plan.per_second.clone().into_iter().enumerate() {
            let from = self.plan.accounts.iter().rev();
            let mut from = from.filter(|(from, _)| *from <= second as u64);
            let parts = from.next().expect("accounts from the start").1.clone();
            for _ in 0..count {
                let at = second as u64 * 1_000_000 + self.draw(1_000_000);
                let (account, tier) = (self.draw_part(&parts), self.draw_part(&tiers));
                let kind = self.draw(self.plan.tiers[tier].kinds.len() as u64);
                let kind = self.plan.tiers[tier].kinds[kind as usize];
                let at = Moment::from_micros(at);
                let event = LoadEvent::Arrival(self.calls.len());
                self.events.push(Reverse((at, event)));
                self.calls.push(CallRecord {
                    at,
                    account,
                    tier,
                    kind,
                    served: false,
                    returned: false,
                });
            }
        }
    }

    /// Run the simulation until all calls have ended.
    pub fn run(&mut self) {
        self.draw_calls();
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                LoadEvent::Arrival(index) => self.request_permit(now, index),
                LoadEvent::End(index) => {
                    let (permit, usage) = self.running[index].clone();
                    self.send(now, released(&permit, ReleaseOutcome::Finished(usage)));
                }
            }
        }
    }

    fn request_permit(&mut self, now: Moment, index: usize) {
        let call = self.calls[index];
        let tier = self.plan.tiers[call.tier].tier;
        let account = format!("account-{:02}", call.account);
        let mut request = permit_request(index as u64, tier, &account);
        request.attempt.request.sequence = index as u64 * 2 + u64::from(call.returned);
        request.cost = call.kind.cost;
        request.first_answer_ms = Some(call.kind.first_token_limit_ms);
        let used = now.since(call.at).as_millis() as u32;
        request.deadline_ms = call.kind.deadline_ms - used;
        self.send(now, OwnerMessage::PermitRequest(Box::new(request)));
    }

    fn send(&mut self, now: Moment, message: OwnerMessage) {
        let event = OwnerEvent::Message(named("entry"), message);
        let actions = self.owner.handle(now, event);
        for permit in permits(&actions) {
            self.start(now, permit);
        }
        for refusal in refusals(&actions) {
            self.refuse(now, &refusal);
        }
        let queued: usize = self.owner.view().queued.iter().map(|q| q.requests).sum();
        self.max_queued = self.max_queued.max(queued);
    }

    /// Let the caller return once, unless it would have to wait too long.
    fn refuse(&mut self, now: Moment, refusal: &SeenRefusal) {
        *self.refusals.entry(refusal.reason).or_default() += 1;
        let index = refusal.request as usize / 2;
        let call = &mut self.calls[index];
        let deadline = call
            .at
            .plus(Duration::from_millis(call.kind.deadline_ms.into()));
        let wait = Duration::from_millis(refusal.retry_after_ms.into());
        if !call.returned && wait <= deadline.since(now) / RETURN_DIVISOR {
            call.returned = true;
            let event = LoadEvent::Arrival(index);
            self.events.push(Reverse((now.plus(wait), event)));
        }
    }

    /// Start a granted request. The slowest target takes five times as long as the
    /// fastest.
    fn start(&mut self, now: Moment, permit: Permit) {
        let call = &mut self.calls[permit.attempt.request.sequence as usize / 2];
        call.served = true;
        let cost = call.kind.cost;
        let last = permit.target.as_str().bytes().last().expect("a name");
        let slowdown = 4 + u32::from(last - b'0') * 16 / 9;
        let first_token_ms = (40 + cost.prefill / 50) * slowdown / 8;
        let usage = Usage {
            prefill: cost.prefill,
            cached: 0,
            decode: cost.decode,
            first_token_ms,
            elapsed_ms: first_token_ms + cost.decode * slowdown / 8,
        };
        let end = now.plus(Duration::from_millis(usage.elapsed_ms.into()));
        let event = LoadEvent::End(self.running.len());
        self.events.push(Reverse((end, event)));
        self.running.push((permit, usage));
    }

    /// Get how many calls were served after the warm-up.
    pub fn served(&self) -> usize {
        let counted = self.calls.iter().filter(|call| call.at >= warm());
        counted.filter(|call| call.served).count()
    }

    /// Get the result of each tier.
    pub fn results(&self) -> Vec<TierResult> {
        let tiers = 0..self.plan.tiers.len();
        tiers.map(|tier| self.result(tier)).collect()
    }

    fn result(&self, tier: usize) -> TierResult {
        let accounts = self.plan.accounts[0].1.len();
        let mut result = TierResult::default();
        let (mut got, mut due) = (vec![0.0; accounts], vec![0.0; accounts]);
        let first = WARM_UP.as_secs() as usize;
        for second in first..self.plan.per_second.len() {
            let (mut asked, mut served) = (vec![0.0; accounts], vec![0.0; accounts]);
            let begin = second as u64 * 1_000_000;
            for call in &self.calls {
                let within = (begin..begin + 1_000_000).contains(&call.at.as_micros());
                if call.tier == tier && within {
                    asked[call.account] += 1.0;
                    served[call.account] += f64::from(u8::from(call.served));
                }
            }
            let shares = max_min(&asked, served.iter().sum());
            result.calls += asked.iter().sum::<f64>();
            result.served += served.iter().sum::<f64>();
            for account in 0..accounts {
                got[account] += served[account];
                due[account] += shares[account];
                result.lacking += (shares[account] - served[account]).max(0.0);
            }
        }
        result.lacking /= result.served.max(1.0);
        result.ratios = got.iter().zip(&due).map(|(got, due)| got / due).collect();
        result
    }
}

fn warm() -> Moment {
    Moment::START.plus(WARM_UP)
}

/// Get the max-min shares of `total` for these demands.
fn max_min(demands: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|one, other| demands[*one].total_cmp(&demands[*other]));
    let (mut left, mut shares) = (total, vec![0.0; demands.len()]);
    for (position, index) in order.iter().enumerate() {
        let equal = left / (demands.len() - position) as f64;
        shares[*index] = demands[*index].min(equal);
        left -= shares[*index];
    }
    shares
}
