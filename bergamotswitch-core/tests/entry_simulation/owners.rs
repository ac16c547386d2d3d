//! Provides the simulated owners, which grant permits without regard to load and
//! record the first holder of each key.

use super::*;

impl EntrySimulation {
    pub(super) fn deliver_to_owner(&mut self, host: usize, owner: usize, message: OwnerMessage) {
        let owner_state = &mut self.owners[owner];
        match message {
            OwnerMessage::PermitRequest(permit_request) => {
                self.handle_permit_request(host, owner, *permit_request)
            }
            OwnerMessage::Withdraw { attempt, .. } => {
                owner_state.pending.remove(&attempt);
            }
            OwnerMessage::Release { release, .. } => {
                owner_state.granted.remove(&release.attempt);
            }
            OwnerMessage::Resync { .. }
            | OwnerMessage::NotHeld { .. }
            | OwnerMessage::OwnerConfirmed { .. }
            | OwnerMessage::QuotaLevels { .. }
            | OwnerMessage::QuotaUse { .. }
            | OwnerMessage::FailedTargets { .. }
            | OwnerMessage::TargetLimits { .. }
            | OwnerMessage::Keys { .. }
            | OwnerMessage::LeavingTargets { .. }
            | OwnerMessage::BrittleTargets { .. }
            | OwnerMessage::Stream { .. }
            | OwnerMessage::StreamVersions { .. }
            | OwnerMessage::AccountUse { .. }
            | OwnerMessage::Signature { .. }
            | OwnerMessage::Promises { .. }
            | OwnerMessage::TargetPaces { .. } => {}
        }
    }

    fn handle_permit_request(&mut self, host: usize, owner: usize, permit_request: PermitRequest) {
        let attempt = permit_request.attempt;
        if let Some(claim) = &permit_request.claim {
            let holder = self.keys.entry(claim.key).or_insert(claim.holder.clone());
            if *holder != claim.holder {
                let holder = holder.clone();
                let known = OwnerReply::KeyHeld { attempt, holder };
                self.in_transit.push(Message::ToHost(host, owner, known));
                return;
            }
        }
        match self.owners[owner].granted.get(&attempt) {
            Some(permit) => {
                let message = Message::ToHost(host, owner, granted(permit));
                self.in_transit.push(message);
            }
            None => {
                self.owners[owner]
                    .pending
                    .insert(attempt, (host, permit_request));
            }
        }
    }

    pub(super) fn grant_one(&mut self, a: u8, b: u8, c: u8) {
        let owner = match c % 8 {
            0 => 1 - self.acting,
            _ => self.acting,
        };
        let pending: Vec<AttemptId> = self.owners[owner].pending.keys().copied().collect();
        let Some(attempt) = pick(&pending, a) else {
            return;
        };
        match c % 16 {
            1 => self.refuse(owner, attempt),
            _ => self.grant(owner, attempt, TARGETS[usize::from(b) % TARGETS.len()]),
        }
    }

    fn grant(&mut self, owner: usize, attempt: AttemptId, target: &str) {
        let Some((host, _)) = self.owners[owner].pending.remove(&attempt) else {
            return;
        };
        let sequence = self.grant_steps.len() as u64;
        let permit = permit_of(sequence, attempt, target);
        self.grant_steps.insert(permit.id, self.step);
        let message = Message::ToHost(host, owner, granted(&permit));
        self.in_transit.push(message);
        self.owners[owner].granted.insert(attempt, permit);
    }

    fn refuse(&mut self, owner: usize, attempt: AttemptId) {
        if let Some((host, _)) = self.owners[owner].pending.remove(&attempt) {
            let refused = OwnerReply::Refused {
                attempt,
                reason: RefusalReason::Overloaded,
                retry_after_ms: 100,
            };
            self.in_transit.push(Message::ToHost(host, owner, refused));
        }
    }

    pub(super) fn grant_all(&mut self) {
        self.step += 1;
        let pending: Vec<AttemptId> = self.owners[self.acting].pending.keys().copied().collect();
        for (index, attempt) in pending.into_iter().enumerate() {
            self.grant(self.acting, attempt, TARGETS[index % TARGETS.len()]);
        }
    }
}
