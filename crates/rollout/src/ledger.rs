//! The ledger: for each call that the candidate decides, what of it may have run. It is the sole source for what
//! may happen to the call when the candidate is gone.
//!
//! A call that is not in it is the holder's own. Words of a candidate that break the protocol's order are
//! [`ProtocolViolation`]s: whoever speaks so is to be given up, since nothing it says of attempts can be relied on.

use std::collections::{BTreeMap, BTreeSet};

use wheellink::{Effect, Micros, Outcome, WorkerId};

use crate::retry_policy::RetryPolicy;

/// Attempts of one call that are taken down; a class allows far fewer.
const MOST_ATTEMPTS: usize = 64;

/// An attempt that the candidate told of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptRecord {
    /// The host it was for.
    pub host: WorkerId,
    /// When it was told, before its first byte left.
    pub announced_at: Micros,
    /// How it ended; `None` where that was not told.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// What is to happen to a call whose candidate is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Recovery {
    /// The holder decides it, with these attempts counted as its own: all of them have ended.
    Rerun(Vec<AttemptRecord>),
    /// Refused: trying again is harmless, as nothing of it ran or its class is safe; here it cannot go on.
    Refuse,
    /// Failed: it may have run and must not run again, or not now.
    Fail,
}

/// Why a call cannot be passed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerFull {
    /// As many calls are out as may be.
    Calls,
    /// Their bodies are as long as they may be.
    Bytes,
}

/// How a candidate broke the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolViolation(pub &'static str);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    terms: Allowed,
    due: Micros,
    size: usize,
    attempts: Vec<AttemptRecord>,
}

/// [`RetryPolicy`] without their order, which the ledger has no use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum EffectKind {
    Safe,
    Keyed(Micros),
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allowed {
    kind: EffectKind,
    most: u32,
}

impl From<&RetryPolicy> for Allowed {
    fn from(terms: &RetryPolicy) -> Self {
        let kind = match terms.effect() {
            Effect::Safe => EffectKind::Safe,
            Effect::Keyed { window, .. } => EffectKind::Keyed(window),
            Effect::Unsafe => EffectKind::Unsafe,
        };
        Self { kind, most: terms.attempts }
    }
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    calls: BTreeMap<u64, Entry>,
    due: BTreeSet<(Micros, u64)>,
    bytes: usize,
    most_calls: usize,
    most_bytes: usize,
}

impl Ledger {
    /// An empty one with room for so many calls, and so many bytes of their bodies.
    pub fn new(most_calls: usize, most_bytes: usize) -> Self {
        Self { calls: BTreeMap::new(), due: BTreeSet::new(), bytes: 0, most_calls, most_bytes }
    }

    /// Calls that the candidate decides.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Bytes of their bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds to another number of bytes from now on. What is out stays.
    pub fn set_max_bytes(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
    }

    /// Whether a call of this size may be passed now.
    pub fn check_capacity(&self, size: usize) -> Result<(), LedgerFull> {
        if self.calls.len() >= self.most_calls {
            Err(LedgerFull::Calls)
        } else if self.bytes + size > self.most_bytes {
            Err(LedgerFull::Bytes)
        } else {
            Ok(())
        }
    }

    /// The candidate decides this call from now on: an answer is owed by `due`.
    pub fn pass(
        &mut self,
        seq: u64,
        terms: &RetryPolicy,
        due: Micros,
        size: usize,
    ) -> Result<(), LedgerFull> {
        self.check_capacity(size)?;
        debug_assert!(!self.calls.contains_key(&seq), "numbers are never used again");
        self.calls.insert(seq, Entry { terms: terms.into(), due, size, attempts: Vec::new() });
        self.due.insert((due, seq));
        self.bytes += size;
        Ok(())
    }

    fn drop_call(&mut self, seq: u64) -> Option<Entry> {
        let entry = self.calls.remove(&seq)?;
        self.due.remove(&(entry.due, seq));
        self.bytes -= entry.size;
        Some(entry)
    }

    /// An attempt is about to leave. False for a call that is over here: its word crossed with the end. One that
    /// breaks the order counts all the same.
    ///
    /// # Errors
    /// A number out of turn, or an attempt beside another: two must never be out at once.
    pub fn attempt_announced(
        &mut self,
        seq: u64,
        number: u32,
        host: &WorkerId,
        at: Micros,
    ) -> Result<bool, ProtocolViolation> {
        let Some(entry) = self.calls.get_mut(&seq) else { return Ok(false) };
        let ran = entry.attempts.iter().any(AttemptRecord::may_have_run);
        let in_turn = number as usize == entry.attempts.len();
        let beside = entry.attempts.last().is_some_and(|last| last.outcome.is_none());
        // Right or wrong, from now on it may have run.
        if entry.attempts.len() < MOST_ATTEMPTS {
            entry.attempts.push(AttemptRecord { host: host.clone(), announced_at: at, outcome: None });
        }
        if !in_turn || number as usize >= MOST_ATTEMPTS {
            Err(ProtocolViolation("an attempt out of turn"))
        } else if beside {
            Err(ProtocolViolation("an attempt beside another"))
        } else if ran && entry.terms.kind == EffectKind::Unsafe {
            Err(ProtocolViolation("a second attempt of an unsafe call that may have run"))
        } else {
            Ok(true)
        }
    }

    /// An attempt has ended. False for a call that is over here.
    ///
    /// # Errors
    /// An attempt that was never told of, or an end after another.
    pub fn attempt_ended(&mut self, seq: u64, number: u32, end: Outcome) -> Result<bool, ProtocolViolation> {
        let Some(entry) = self.calls.get_mut(&seq) else { return Ok(false) };
        match entry.attempts.get_mut(number as usize) {
            Some(attempt) if attempt.outcome.is_none() => {
                attempt.outcome = Some(end);
                Ok(true)
            }
            _ => Err(ProtocolViolation("an end of an attempt that is not out")),
        }
    }

    /// The candidate gives its final answer, which tells whether it may be a refusal. False for a call that is
    /// over here.
    ///
    /// # Errors
    /// A refusal, which calls a repeat harmless, of an unsafe call that may have run.
    pub fn answered(&mut self, seq: u64, refused: bool) -> Result<bool, ProtocolViolation> {
        let Some(entry) = self.calls.get(&seq) else { return Ok(false) };
        let ran = entry.attempts.iter().any(AttemptRecord::may_have_run);
        if refused && ran && entry.terms.kind == EffectKind::Unsafe {
            return Err(ProtocolViolation("a refusal of an unsafe call that may have run"));
        }
        self.drop_call(seq);
        Ok(true)
    }

    /// The candidate gives it back, as one that it cannot decide. False for a call that is over here.
    ///
    /// # Errors
    /// It has told of attempts: what it began it must bring to its end.
    pub fn returned(&mut self, seq: u64) -> Result<bool, ProtocolViolation> {
        match self.calls.get(&seq) {
            Some(entry) if !entry.attempts.is_empty() => {
                Err(ProtocolViolation("a call given back that was begun"))
            }
            Some(_) => Ok(self.drop_call(seq).is_some()),
            None => Ok(false),
        }
    }

    /// Its client has left, or the holder has answered it: the candidate owes nothing more.
    pub fn remove(&mut self, seq: u64) -> bool {
        self.drop_call(seq).is_some()
    }

    /// When a call's time is up next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Calls whose time is up: the holder answers them now, whatever the candidate does.
    pub fn take_overdue(&mut self, now: Micros) -> Vec<u64> {
        let mut over = Vec::new();
        while let Some((_, seq)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.drop_call(seq);
            over.push(seq);
        }
        over
    }

    /// The candidate is gone, and all it told has been read. `dead` is proof that its process has ended, and
    /// its connections with it; without it an attempt whose end was not told may still be out.
    pub fn candidate_lost(&mut self, now: Micros, dead: bool) -> Vec<(u64, Recovery)> {
        self.due.clear();
        self.bytes = 0;
        std::mem::take(&mut self.calls).into_iter().map(|(seq, e)| (seq, e.fate(now, dead))).collect()
    }
}

impl Entry {
    fn fate(mut self, now: Micros, dead: bool) -> Recovery {
        let out = self.attempts.iter().any(|a| a.outcome.is_none());
        let first_run = self.attempts.iter().find(|a| a.may_have_run()).map(|a| a.announced_at);
        if now >= self.due {
            return Recovery::Fail;
        }
        // Of a safe call a refusal is always true, and tells its client to come back.
        let over = if self.terms.kind == EffectKind::Safe { Recovery::Refuse } else { Recovery::Fail };
        if out && !dead {
            return over;
        }
        let spent = self.attempts.len() as u32 >= self.terms.most;
        match (self.terms.kind, first_run) {
            (EffectKind::Unsafe, Some(_)) => Recovery::Fail,
            (EffectKind::Keyed(window), Some(at)) if now - at >= window => Recovery::Fail,
            (_, Some(_)) if spent => over,
            (_, None) if spent => Recovery::Refuse,
            _ => {
                // Its connections were reset with the process.
                self.attempts.iter_mut().for_each(|a| a.outcome = a.outcome.or(Some(Outcome::Reset)));
                Recovery::Rerun(self.attempts)
            }
        }
    }
}
