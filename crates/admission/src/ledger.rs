//! Who holds how much of one thing that is limited: descriptors, or bytes of memory.
//!
//! Each owner has a reserve. What is not reserved is anybody's. What known clients do not use of theirs may be
//! borrowed, and is owed back when they ask; nobody borrows of the others' reserves, so that an owner within its
//! reserve is never kept waiting, and a call that was taken can always reach a host.

use std::fmt;

use wheellink::Micros;

/// Who holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// Connections to script hosts.
    Hosts,
    /// Known clients.
    Known,
    /// All other clients.
    Others,
    /// Operators' calls.
    Operators,
    /// The program itself: listeners, bus, resolver, the other process of an upgrade.
    Own,
}

impl Owner {
    /// All of them.
    pub const ALL: [Owner; 5] = [Owner::Hosts, Owner::Known, Owner::Others, Owner::Operators, Owner::Own];

    /// As it is told to operators.
    pub fn as_str(self) -> &'static str {
        ["hosts", "known", "others", "operators", "own"][self as usize]
    }

    /// Whether its unused reserve may be borrowed.
    fn lends(self) -> bool {
        self == Owner::Known
    }
}

/// What became of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// It is the owner's.
    Granted,
    /// It is, on loan from known clients.
    Borrowed,
    /// It is due, and this owner has it on loan: it is to give it back, then ask again.
    OwedBy(Owner),
    /// There is none for this owner.
    Denied,
}

/// Why limits make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerError(pub String);

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for LedgerError {}

const OWNERS: usize = Owner::ALL.len();

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limit: usize,
    /// The limit for the time being, where the system turned out to have less.
    ceiling: usize,
    raised: Micros,
    step: usize,
    reserve: [usize; OWNERS],
    held: [usize; OWNERS],
}

/// After the system had less than the limit the ceiling rises this often: by one, two, four and so on, so that a
/// passing want is soon forgotten and a lasting one is met with little.
const RAISE: Micros = 100_000;

impl Ledger {
    /// Of this limit, with these reserves in the order of [`Owner::ALL`].
    ///
    /// # Errors
    /// The reserves are more than the limit.
    pub fn new(limit: usize, reserve: [usize; OWNERS]) -> Result<Self, LedgerError> {
        let mut ledger = Self {
            limit: 0,
            ceiling: usize::MAX,
            raised: 0,
            step: 1,
            reserve: [0; OWNERS],
            held: [0; OWNERS],
        };
        ledger.set_limits(limit, reserve)?;
        Ok(ledger)
    }

    /// Other limits from now on. What is held beyond them stays until it is given back; nothing new is taken.
    ///
    /// # Errors
    /// The reserves are more than the limit: the old limits stay.
    pub fn set_limits(&mut self, limit: usize, reserve: [usize; OWNERS]) -> Result<(), LedgerError> {
        let sum = reserve.iter().try_fold(0usize, |sum, r| sum.checked_add(*r));
        match sum.filter(|sum| *sum <= limit) {
            Some(_) => {
                (self.limit, self.reserve) = (limit, reserve);
                Ok(())
            }
            None => Err(LedgerError(format!("reserves of {reserve:?} are more than the limit of {limit}"))),
        }
    }

    /// What an owner holds.
    pub fn held(&self, owner: Owner) -> usize {
        self.held[owner as usize]
    }

    /// What is held in all.
    pub fn total_held(&self) -> usize {
        self.held.iter().sum()
    }

    /// The limit in force, and what is reserved for an owner.
    pub fn limit(&self) -> usize {
        self.limit.min(self.ceiling)
    }

    /// An owner's reserve.
    pub fn reserve(&self, owner: Owner) -> usize {
        self.reserve[owner as usize]
    }

    fn unused(&self, owner: Owner) -> usize {
        self.reserve(owner).saturating_sub(self.held(owner))
    }

    /// Takes so many units for an owner, or none.
    pub fn take(&mut self, owner: Owner, units: usize) -> TakeOutcome {
        let free = self.limit().saturating_sub(self.total_held());
        let others = Owner::ALL.into_iter().filter(|o| *o != owner);
        let (mut kept, mut lent) = (0, 0);
        for other in others {
            match other.lends() {
                true => lent += self.unused(other),
                false => kept += self.unused(other),
            }
        }
        let within = self.held(owner) + units <= self.reserve(owner);
        // Of what nobody lends, its owner finds it free; a lender's may be out, and must not be made up for by others'.
        let due = within && units + if owner.lends() { kept } else { 0 } <= free;
        let taken = if due || units + kept + lent <= free {
            TakeOutcome::Granted
        } else if units + kept <= free && !owner.lends() {
            TakeOutcome::Borrowed
        } else {
            let excess = |o: &Owner| self.held(*o).saturating_sub(self.reserve(*o));
            let borrower = Owner::ALL.into_iter().filter(|o| *o != owner && excess(o) > 0).max_by_key(excess);
            return match borrower.filter(|_| within) {
                Some(borrower) => TakeOutcome::OwedBy(borrower),
                None => TakeOutcome::Denied,
            };
        };
        self.held[owner as usize] += units;
        taken
    }

    /// What an owner holds, as its keeper counts it.
    pub fn set_held(&mut self, owner: Owner, units: usize) {
        self.held[owner as usize] = units;
    }

    /// How many units this owner could take now, without what known clients lend.
    pub fn available(&self, owner: Owner) -> usize {
        let free = self.limit().saturating_sub(self.total_held());
        let others = Owner::ALL.into_iter().filter(|o| *o != owner);
        let kept: usize = others.map(|o| self.unused(o)).sum();
        free.saturating_sub(kept).max(self.unused(owner).min(free))
    }

    /// Gives units back. Giving back more than is held is a fault of the embedder and gives back what is held.
    pub fn release(&mut self, owner: Owner, units: usize) {
        debug_assert!(self.held(owner) >= units, "{owner:?} gives back more than it holds");
        self.held[owner as usize] -= units.min(self.held(owner));
    }

    /// A unit changes hands: whoever held it is another owner now (a client has become known, say).
    pub fn transfer(&mut self, from: Owner, to: Owner, units: usize) {
        let units = units.min(self.held(from));
        self.held[from as usize] -= units;
        self.held[to as usize] += units;
    }

    /// The system has no more although the limit says so: nothing beyond what is held for now, and then by and by
    /// more.
    pub fn set_exhausted(&mut self, now: Micros) {
        (self.ceiling, self.raised, self.step) = (self.total_held(), now, 1);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if self.ceiling < self.limit {
            // After a jump of the clock it rises from there on.
            self.raised = self.raised.min(now);
            while self.ceiling < self.limit && now - self.raised >= RAISE {
                self.ceiling = self.ceiling.saturating_add(self.step);
                self.step = self.step.saturating_mul(2);
                self.raised += RAISE;
            }
        } else {
            self.ceiling = usize::MAX;
        }
    }
}
