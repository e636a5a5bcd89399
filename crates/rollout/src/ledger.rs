//! The ledger of passed calls: for each call that the candidate decides, which attempts may have run. It alone
//! determines how the call is recovered when the candidate is lost.
//!
//! The holder decides every call that is not in the ledger. A message of the candidate that breaks the order of the
//! protocol is a [`ProtocolViolation`]: the candidate has to be given up, because its messages about attempts are no
//! longer reliable.

use std::collections::{BTreeMap, BTreeSet};

use wheellink::{Effect, Micros, Outcome, WorkerId};

use crate::retry_policy::RetryPolicy;

/// Maximum number of attempts recorded per call; classes allow far fewer.
const MAX_ATTEMPTS: usize = 64;

/// An attempt that the candidate announced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptRecord {
    /// The host that it is sent to.
    pub host: WorkerId,
    /// When the candidate announced it, which is before it sends the first byte.
    pub announced_at: Micros,
    /// How it ended; `None` if the candidate has not reported its end.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    /// Whether the host may have run it.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// How a call is recovered whose candidate is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Recovery {
    /// The holder decides the call and counts these attempts, all of which have ended, as its own.
    Rerun(Vec<AttemptRecord>),
    /// The call is refused, because it has no attempts left or an attempt may still be open. The client may repeat it,
    /// because no attempt has run or the class is safe.
    Refuse,
    /// The call fails: it may have run and must not run again, or its deadline has passed.
    Fail,
}

/// Why no call can be passed to the candidate now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerFull {
    /// The maximum number of passed calls is reached.
    Calls,
    /// The bodies of the passed calls would exceed their maximum size.
    Bytes,
}

/// How a candidate broke the protocol, in words for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolViolation(pub &'static str);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    policy: CallPolicy,
    deadline: Micros,
    body_bytes: usize,
    attempts: Vec<AttemptRecord>,
}

/// The effect of a class, without the scope, which the ledger does not need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum EffectKind {
    Safe,
    Keyed(Micros),
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CallPolicy {
    effect: EffectKind,
    max_attempts: u32,
}

impl From<&RetryPolicy> for CallPolicy {
    fn from(policy: &RetryPolicy) -> Self {
        let effect = match policy.effect() {
            Effect::Safe => EffectKind::Safe,
            Effect::Keyed { window, .. } => EffectKind::Keyed(window),
            Effect::Unsafe => EffectKind::Unsafe,
        };
        Self { effect, max_attempts: policy.attempts }
    }
}

/// The calls that the candidate decides, and their attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    calls: BTreeMap<u64, Call>,
    deadlines: BTreeSet<(Micros, u64)>,
    bytes: usize,
    max_calls: usize,
    max_bytes: usize,
}

impl Ledger {
    /// An empty ledger with limits for the number of calls and for the total size of their bodies.
    pub fn new(max_calls: usize, max_bytes: usize) -> Self {
        Self { calls: BTreeMap::new(), deadlines: BTreeSet::new(), bytes: 0, max_calls, max_bytes }
    }

    /// Number of calls that the candidate decides.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the candidate decides no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Total size of the bodies of the calls.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the limit for the total size of the bodies. Calls that are already passed stay.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Checks whether a call with a body of this size can be passed now.
    pub fn check_capacity(&self, body_bytes: usize) -> Result<(), LedgerFull> {
        if self.calls.len() >= self.max_calls {
            Err(LedgerFull::Calls)
        } else if self.bytes + body_bytes > self.max_bytes {
            Err(LedgerFull::Bytes)
        } else {
            Ok(())
        }
    }

    /// Records that the candidate decides this call from now on and has to answer it by `deadline`.
    pub fn pass(
        &mut self,
        seq: u64,
        policy: &RetryPolicy,
        deadline: Micros,
        body_bytes: usize,
    ) -> Result<(), LedgerFull> {
        self.check_capacity(body_bytes)?;
        debug_assert!(!self.calls.contains_key(&seq), "sequence numbers are not reused");
        self.calls.insert(seq, Call { policy: policy.into(), deadline, body_bytes, attempts: Vec::new() });
        self.deadlines.insert((deadline, seq));
        self.bytes += body_bytes;
        Ok(())
    }

    fn take_call(&mut self, seq: u64) -> Option<Call> {
        let call = self.calls.remove(&seq)?;
        self.deadlines.remove(&(call.deadline, seq));
        self.bytes -= call.body_bytes;
        Some(call)
    }

    /// Records that the candidate is about to send an attempt. Returns false if the call is not in the ledger: its end
    /// crossed with the message. An attempt that breaks the order is recorded too.
    ///
    /// # Errors
    /// The number is out of order, or another attempt of the call is still open: there must never be two at once.
    pub fn attempt_announced(
        &mut self,
        seq: u64,
        number: u32,
        host: &WorkerId,
        at: Micros,
    ) -> Result<bool, ProtocolViolation> {
        let Some(call) = self.calls.get_mut(&seq) else { return Ok(false) };
        let may_have_run = call.attempts.iter().any(AttemptRecord::may_have_run);
        let in_order = number as usize == call.attempts.len();
        let other_open = call.attempts.last().is_some_and(|last| last.outcome.is_none());
        // Even if the message breaks the order, the attempt may run from now on.
        if call.attempts.len() < MAX_ATTEMPTS {
            call.attempts.push(AttemptRecord { host: host.clone(), announced_at: at, outcome: None });
        }
        if !in_order || number as usize >= MAX_ATTEMPTS {
            Err(ProtocolViolation("an attempt number out of order"))
        } else if other_open {
            Err(ProtocolViolation("an attempt while another is open"))
        } else if may_have_run && call.policy.effect == EffectKind::Unsafe {
            Err(ProtocolViolation("a second attempt of an unsafe call that may have run"))
        } else {
            Ok(true)
        }
    }

    /// Records that an attempt has ended. Returns false if the call is not in the ledger.
    ///
    /// # Errors
    /// The attempt was not announced, or its end was already reported.
    pub fn attempt_ended(&mut self, seq: u64, number: u32, end: Outcome) -> Result<bool, ProtocolViolation> {
        let Some(call) = self.calls.get_mut(&seq) else { return Ok(false) };
        match call.attempts.get_mut(number as usize) {
            Some(attempt) if attempt.outcome.is_none() => {
                attempt.outcome = Some(end);
                Ok(true)
            }
            _ => Err(ProtocolViolation("an end of an attempt that is not open")),
        }
    }

    /// Removes a call that the candidate has answered; `refused` says whether the answer is a refusal. Returns false
    /// if the call is not in the ledger.
    ///
    /// # Errors
    /// A refusal, which tells the client that a repeat is harmless, of an unsafe call that may have run.
    pub fn answered(&mut self, seq: u64, refused: bool) -> Result<bool, ProtocolViolation> {
        let Some(call) = self.calls.get(&seq) else { return Ok(false) };
        let may_have_run = call.attempts.iter().any(AttemptRecord::may_have_run);
        if refused && may_have_run && call.policy.effect == EffectKind::Unsafe {
            return Err(ProtocolViolation("a refusal of an unsafe call that may have run"));
        }
        self.take_call(seq);
        Ok(true)
    }

    /// Removes a call that the candidate returns because it cannot decide it. Returns false if the call is not in the
    /// ledger.
    ///
    /// # Errors
    /// The candidate has announced attempts of the call, so it has to finish the call.
    pub fn returned(&mut self, seq: u64) -> Result<bool, ProtocolViolation> {
        match self.calls.get(&seq) {
            Some(call) if !call.attempts.is_empty() => Err(ProtocolViolation("a return after an attempt")),
            Some(_) => Ok(self.take_call(seq).is_some()),
            None => Ok(false),
        }
    }

    /// Removes a call whose client has disconnected or that the holder has answered: the candidate owes no answer any
    /// more.
    pub fn remove(&mut self, seq: u64) -> bool {
        self.take_call(seq).is_some()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the calls whose deadline has passed. The holder answers them now, whatever the candidate
    /// does.
    pub fn take_overdue(&mut self, now: Micros) -> Vec<u64> {
        let mut overdue = Vec::new();
        while let Some((_, seq)) = self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= now) {
            self.take_call(seq);
            overdue.push(seq);
        }
        overdue
    }

    /// Empties the ledger after the candidate was lost, and returns how each call is recovered. Call it after all
    /// messages of the candidate were read. `ended` says that its process, and with it its connections, is known to have
    /// ended; otherwise an attempt whose end was not reported may still be open.
    pub fn candidate_lost(&mut self, now: Micros, ended: bool) -> Vec<(u64, Recovery)> {
        self.deadlines.clear();
        self.bytes = 0;
        std::mem::take(&mut self.calls).into_iter().map(|(seq, c)| (seq, c.recovery(now, ended))).collect()
    }
}

impl Call {
    fn recovery(mut self, now: Micros, ended: bool) -> Recovery {
        let open = self.attempts.iter().any(|a| a.outcome.is_none());
        let first_run = self.attempts.iter().find(|a| a.may_have_run()).map(|a| a.announced_at);
        if now >= self.deadline {
            return Recovery::Fail;
        }
        // A safe call can always be refused: a repeat by its client is harmless.
        let give_up = if self.policy.effect == EffectKind::Safe { Recovery::Refuse } else { Recovery::Fail };
        if open && !ended {
            return give_up;
        }
        let no_attempts_left = self.attempts.len() as u32 >= self.policy.max_attempts;
        match (self.policy.effect, first_run) {
            (EffectKind::Unsafe, Some(_)) => Recovery::Fail,
            (EffectKind::Keyed(window), Some(at)) if now - at >= window => Recovery::Fail,
            (_, Some(_)) if no_attempts_left => give_up,
            (_, None) if no_attempts_left => Recovery::Refuse,
            _ => {
                // The connections of open attempts were reset when the process ended.
                self.attempts.iter_mut().for_each(|a| a.outcome = a.outcome.or(Some(Outcome::Reset)));
                Recovery::Rerun(self.attempts)
            }
        }
    }
}
